import type { Clock } from "../../src/core/clock/clock.ts";
import type { RunEnd } from "../../src/core/jobs/run_end.ts";
import type { RunOutcome } from "../../src/core/jobs/run_outcome.ts";
import type { TaskName } from "../../src/core/jobs/task_name.ts";
import type { RunnerResult } from "../../src/gate/runner_result.ts";
import type { RunnerClient } from "../../src/gate/runner_client.ts";
import type { RunnerFailure } from "../../src/gate/runner_failure.ts";
import type { RunnerPollResult } from "../../src/gate/runner_poll_result.ts";
import type { ModelRun } from "./model_run.ts";
import type { RunnerObserver } from "./runner_observer.ts";

/**
 * A fault of a command: it is applied and its answer is lost, it is applied
 * only when `applyDelayed` is called, or it is dropped.
 */
type Fault = "lost" | "late" | "ignored";

/** The longest lease that it grants. */
const maxHoldMs = 6_000;
/** The latency of an answer. */
const latencyMs = 4;
/** How long a call without an answer takes to fail. */
const timeoutMs = 400;

/** An in-memory runner with the platform's semantics and an inexact clock. */
export class RunnerModel implements RunnerClient {
  bornMs = 5_000;
  /** The faults of the next commands, first to last; later ones succeed. */
  readonly faults: Fault[] = [];
  observer: RunnerObserver = {};
  /** How long a stopped run takes to end. */
  stopMs: () => number = () => 0;
  /** Whether it refuses epochs below the highest that it has seen. */
  isFencing = true;
  /** Whether no call is answered. */
  isSilent = false;
  /** What a cut takes: the calls, or the answers to those that are executed. */
  cut: "calls" | "answers" | undefined;
  /** Whether its process has exited, so that connections are refused. */
  hasExited = false;
  /** Whether late commands are also applied in a life after the one addressed. */
  reachesNextLife = false;
  /** The end of the lease, by its own clock. */
  leaseEndClockMs = 0;
  /** How many ends an answer lists at most. */
  endsPerAnswer = 500;
  /** How often a lease has ended and another was granted. */
  lapseCount = 0;
  highestEpoch = 0;
  readonly running = new Map<TaskName, ModelRun>();
  ends: RunEnd[] = [];
  /** How many runs it has started. */
  startCount = 0;
  #bornAtMs: number;
  #endNumber = 0;
  /** The highest run of each task that has ended or was stopped. */
  readonly #highestEnded = new Map<TaskName, number>();
  #delayed: (() => void)[] = [];
  /** Ends the waiting polls. */
  readonly #waiting = new Set<() => void>();
  /** The calls that wait for its next life, in the order of their arrival. */
  #queued: (() => void)[] | undefined;
  /** Whether its life took the calls that were meant for the one before. */
  #hasTakenCalls = false;

  constructor(
    readonly clock: Clock,
    readonly clockRate = 1,
    readonly instance: string = "i-1",
  ) {
    this.#bornAtMs = clock.nowMs();
  }

  /** Its own steady clock, which runs at `clockRate` times the true speed. */
  get clockMs(): number {
    return (this.clock.nowMs() - this.#bornAtMs) * this.clockRate;
  }

  /** Whether calls wait for its next life. */
  get isReturning(): boolean {
    return this.#queued !== undefined;
  }

  /** Ends its life; the next one takes the calls that come until it begins. */
  beginReturn(): void {
    this.#queued ??= [];
    this.running.clear();
    for (const wake of this.#waiting) wake();
  }

  /** Simulates a crash and a restart under the same id. */
  restart(): void {
    this.hasExited = false;
    this.bornMs += 1_000;
    this.#bornAtMs = this.clock.nowMs();
    this.running.clear();
    this.ends = [];
    this.#endNumber = 0;
    this.#highestEnded.clear();
    this.leaseEndClockMs = 0;
    this.highestEpoch = 0;
    for (const wake of this.#waiting) wake();
    const queued = this.#queued ?? [];
    this.#hasTakenCalls = this.isReturning;
    this.#queued = undefined;
    for (const take of queued) take();
  }

  /** Ends its process, with all runs. */
  exit(): void {
    this.hasExited = true;
    for (const task of [...this.running.keys()]) this.end(task, "stopped");
    for (const wake of this.#waiting) wake();
  }

  /** Applies the commands that were delayed. */
  applyDelayed(): void {
    if (this.isReturning) return;
    for (const apply of this.#delayed.splice(0)) apply();
  }

  /** Ends a run. */
  end(task: string, outcome: RunOutcome, checkpoint = ""): void {
    const run = this.running.get(task as TaskName);
    if (run === undefined) return;
    this.running.delete(run.task);
    this.#endNumber += 1;
    const { run: number } = run;
    this.#noteEnded(run.task, number);
    const end = {
      number: this.#endNumber,
      task: run.task,
      run: number,
      outcome,
      checkpoint,
    };
    this.ends.push(end);
    this.observer.onEnded?.(end);
    for (const wake of this.#waiting) wake();
  }

  /** Ends all runs if the lease has ended. */
  endIfLapsed(): void {
    if (this.clockMs < this.leaseEndClockMs) return;
    for (const task of [...this.running.keys()]) this.end(task, "lapsed");
  }

  start(
    command: Parameters<RunnerClient["start"]>[0],
  ): Promise<RunnerResult<undefined>> {
    return this.#execute(command.epoch, () => {
      if (command.leaseEndClockMs <= this.clockMs) return "late";
      this.#extendLease(command.leaseEndClockMs);
      const highestEnded = this.#highestEnded.get(command.task) ?? 0;
      const active = this.running.get(command.task)?.run ?? 0;
      if (active === command.run) return undefined;
      if (command.run <= Math.max(highestEnded, active)) return "old";
      const { task, run, checkpoint } = command;
      const started = {
        task,
        run,
        checkpoint,
        percent: 0,
        figure: 0,
        pace: 100,
      };
      this.running.set(task, started);
      this.startCount += 1;
      this.observer.onStarted?.(started, command.payload);
      return undefined;
    });
  }

  stop(
    command: Parameters<RunnerClient["stop"]>[0],
  ): Promise<RunnerResult<undefined>> {
    return this.#execute(command.epoch, () => {
      this.#noteEnded(command.task, command.run);
      const run = this.running.get(command.task);
      if (run?.run === command.run) this.#endStopped(run);
      return undefined;
    });
  }

  pace(
    command: Parameters<RunnerClient["pace"]>[0],
  ): Promise<RunnerResult<undefined>> {
    return this.#execute(command.epoch, () => {
      const run = this.running.get(command.task);
      if (run !== undefined) run.pace = command.percent;
      return undefined;
    });
  }

  async hold(
    command: Parameters<RunnerClient["hold"]>[0],
  ): Promise<RunnerResult<RunnerPollResult>> {
    if (this.#losesCalls) return await this.#timeOut();
    await this.clock.sleep(latencyMs);
    if (this.isReturning) await this.#nextLife();
    if (this.hasExited) return this.#failure("refused");
    const calledBornMs = this.bornMs;
    if (this.ends.length === 0) await this.#waitForEnd(command.waitMs);
    if (this.#losesCalls) return await this.#timeOut();
    // A waiting call breaks off with the life that it waits at.
    if (calledBornMs !== this.bornMs || this.hasExited) {
      return this.#failure("unknown");
    }
    if (this.#isFenced(command.epoch)) return this.#failure("fenced");
    this.endIfLapsed();
    this.#extendLease(command.leaseEndClockMs ?? 0);
    this.#forgetEnds(command.forgetUpTo);
    if (this.cut === "answers") return await this.#timeOut();
    const { bornMs, clockMs } = this;
    const running = [...this.running.values()];
    const ends = this.ends.slice(0, this.endsPerAnswer);
    const hasAllEnds = ends.length < this.endsPerAnswer;
    const value = { bornMs, clockMs, running, ends, hasAllEnds };
    return { isOk: true, value, clockMs };
  }

  get #losesCalls(): boolean {
    return this.isSilent || this.cut === "calls";
  }

  #nextLife(): Promise<void> {
    return new Promise((take) => this.#queued?.push(take));
  }

  #extendLease(untilClockMs: number): void {
    this.endIfLapsed();
    if (this.clockMs >= this.leaseEndClockMs) this.lapseCount += 1;
    const longest = Math.min(untilClockMs, this.clockMs + maxHoldMs);
    this.leaseEndClockMs = Math.max(this.leaseEndClockMs, longest);
  }

  #noteEnded(task: TaskName, run: number): void {
    const highest = this.#highestEnded.get(task) ?? 0;
    this.#highestEnded.set(task, Math.max(highest, run));
  }

  #endStopped(run: ModelRun): void {
    const stopMs = this.stopMs();
    const end = () => {
      if (this.running.get(run.task) !== run) return;
      this.end(run.task, "stopped", "saved");
    };
    if (stopMs === 0) end();
    else void this.clock.sleep(stopMs).then(end);
  }

  #forgetEnds(upTo: number): void {
    for (const end of this.ends) {
      if (end.number <= upTo) this.observer.onForgotten?.(end);
    }
    this.ends = this.ends.filter(({ number }) => number > upTo);
  }

  async #waitForEnd(waitMs: number): Promise<void> {
    const ended = new Promise<void>((wake) => this.#waiting.add(wake));
    await Promise.race([this.clock.sleep(waitMs), ended]);
    this.#waiting.clear();
  }

  #isFenced(epoch: number): boolean {
    if (this.isFencing && epoch < this.highestEpoch) return true;
    this.highestEpoch = Math.max(this.highestEpoch, epoch);
    return false;
  }

  async #execute(
    epoch: number,
    apply: () => RunnerFailure | undefined,
  ): Promise<RunnerResult<undefined>> {
    const fault = this.#nextFault();
    const { bornMs } = this;
    const applyIfCurrent = (isUnderWay = false): RunnerFailure | undefined => {
      const isReached = bornMs === this.bornMs || this.reachesNextLife ||
        (isUnderWay && this.#hasTakenCalls);
      if (!isReached) return "other_life";
      if (this.#isFenced(epoch)) return "fenced";
      return apply();
    };
    if (fault === "late") this.#delayed.push(() => applyIfCurrent());
    if (fault === "lost") {
      if (this.#queued === undefined) applyIfCurrent();
      else this.#queued.push(() => applyIfCurrent(true));
    }
    if (fault !== undefined) return await this.#timeOut();
    await this.clock.sleep(latencyMs);
    if (this.isReturning) await this.#nextLife();
    if (this.hasExited) return this.#failure("refused");
    const failure = applyIfCurrent(true);
    if (this.cut !== undefined) return await this.#timeOut();
    if (failure !== undefined) return this.#failure(failure);
    return { isOk: true, value: undefined, clockMs: this.clockMs };
  }

  #nextFault(): Fault | undefined {
    if (this.#losesCalls) return "ignored";
    return this.cut === "answers" ? "lost" : this.faults.shift();
  }

  async #timeOut<T>(): Promise<RunnerResult<T>> {
    await this.clock.sleep(timeoutMs);
    return { isOk: false, failure: "unknown", clockMs: undefined };
  }

  #failure<T>(failure: RunnerFailure): RunnerResult<T> {
    const isAnswered = failure !== "unknown" && failure !== "refused";
    const clockMs = isAnswered ? this.clockMs : undefined;
    return { isOk: false, failure, clockMs };
  }
}
