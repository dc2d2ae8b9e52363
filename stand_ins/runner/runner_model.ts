import type { Clock } from "../../src/core/clock/clock.ts";
import type { RunEnd } from "../../src/core/jobs/run_end.ts";
import type { RunOutcome } from "../../src/core/jobs/run_outcome.ts";
import type { TaskName } from "../../src/core/jobs/task_name.ts";
import type { RunnerAnswer } from "../../src/gate/runner_answer.ts";
import type { RunnerClient } from "../../src/gate/runner_client.ts";
import type { RunnerFailure } from "../../src/gate/runner_failure.ts";
import type { RunnerLook } from "../../src/gate/runner_look.ts";

/** What befalls an order: its answer is lost, or it is carried out late. */
type Fault = "lost" | "late" | "ignored";

interface ModelRun {
  readonly task: TaskName;
  readonly run: number;
  checkpoint: string;
  percent: number;
  figure: number;
  pace: number;
}

const answerMs = 4;
const timeoutMs = 400;

/** A runner as the pages describe it, on a clock that may be slow. */
export class RunnerModel implements RunnerClient {
  readonly instance = "i-1";
  bornMs = 5_000;
  /** What befalls the next orders, in order; then all goes well. */
  readonly faults: Fault[] = [];
  isSilent = false;
  untilClockMs = 0;
  highestEpoch = 0;
  readonly running = new Map<TaskName, ModelRun>();
  ends: RunEnd[] = [];
  starts = 0;
  #bornAtMs: number;
  #endNumber = 0;
  readonly #settled = new Map<TaskName, number>();
  #late: (() => void)[] = [];

  constructor(readonly clock: Clock, readonly rate = 1) {
    this.#bornAtMs = clock.nowMs();
  }

  /** Its own steady clock. */
  get clockMs(): number {
    return (this.clock.nowMs() - this.#bornAtMs) * this.rate;
  }

  /** It crashes, and starts again under the id that it had. */
  reborn(): void {
    this.bornMs += 1_000;
    this.#bornAtMs = this.clock.nowMs();
    this.running.clear();
    this.ends = [];
    this.#endNumber = 0;
    this.#settled.clear();
    this.untilClockMs = 0;
    this.highestEpoch = 0;
  }

  /** Carries out the orders that were put off. */
  carryOutLate(): void {
    for (const late of this.#late.splice(0)) late();
  }

  /** Ends a run. */
  end(task: string, outcome: RunOutcome, checkpoint = ""): void {
    const run = this.running.get(task as TaskName);
    if (run === undefined) return;
    this.running.delete(run.task);
    this.#endNumber += 1;
    const { run: number } = run;
    this.#settled.set(run.task, number);
    this.ends.push({
      number: this.#endNumber,
      task: run.task,
      run: number,
      outcome,
      checkpoint,
    });
  }

  start(
    order: Parameters<RunnerClient["start"]>[0],
  ): Promise<RunnerAnswer<undefined>> {
    return this.#order(order.epoch, () => {
      if (order.untilClockMs <= this.clockMs) return "late";
      const settled = this.#settled.get(order.task) ?? 0;
      const present = this.running.get(order.task)?.run ?? 0;
      if (present === order.run) return undefined;
      if (order.run <= Math.max(settled, present)) return "old";
      const { task, run, checkpoint } = order;
      this.running.set(task, {
        task,
        run,
        checkpoint,
        percent: 0,
        figure: 0,
        pace: 100,
      });
      this.untilClockMs = Math.max(this.untilClockMs, order.untilClockMs);
      this.starts += 1;
      return undefined;
    });
  }

  stop(
    order: Parameters<RunnerClient["stop"]>[0],
  ): Promise<RunnerAnswer<undefined>> {
    return this.#order(order.epoch, () => {
      const settled = this.#settled.get(order.task) ?? 0;
      this.#settled.set(order.task, Math.max(settled, order.run));
      if (this.running.get(order.task)?.run === order.run) {
        this.end(order.task, "stopped", "saved");
      }
      return undefined;
    });
  }

  pace(
    order: Parameters<RunnerClient["pace"]>[0],
  ): Promise<RunnerAnswer<undefined>> {
    return this.#order(order.epoch, () => {
      const run = this.running.get(order.task);
      if (run !== undefined) run.pace = order.percent;
      return undefined;
    });
  }

  async hold(
    order: Parameters<RunnerClient["hold"]>[0],
  ): Promise<RunnerAnswer<RunnerLook>> {
    if (this.isSilent) return await this.#unanswered();
    await this.clock.sleep(this.ends.length > 0 ? answerMs : order.waitMs);
    if (this.isSilent) return await this.#unanswered();
    if (order.epoch < this.highestEpoch) return this.#refused("fenced");
    this.highestEpoch = order.epoch;
    this.#lapse();
    this.untilClockMs = Math.max(this.untilClockMs, order.untilClockMs ?? 0);
    this.ends = this.ends.filter(({ number }) => number > order.forgetUpTo);
    const { bornMs, clockMs } = this;
    const running = [...this.running.values()];
    const value = { bornMs, clockMs, running, ends: [...this.ends] };
    return { isOk: true, value, clockMs };
  }

  #lapse(): void {
    if (this.clockMs < this.untilClockMs) return;
    for (const task of [...this.running.keys()]) this.end(task, "lapsed");
  }

  async #order(
    epoch: number,
    act: () => RunnerFailure | undefined,
  ): Promise<RunnerAnswer<undefined>> {
    const fault = this.isSilent ? "ignored" : this.faults.shift();
    const { bornMs } = this;
    const guarded = (): RunnerFailure | undefined => {
      if (bornMs !== this.bornMs) return "other_life";
      if (epoch < this.highestEpoch) return "fenced";
      this.highestEpoch = epoch;
      return act();
    };
    if (fault === "late") this.#late.push(() => guarded());
    if (fault === "lost") guarded();
    if (fault !== undefined) return await this.#unanswered();
    await this.clock.sleep(answerMs);
    const failure = guarded();
    if (failure !== undefined) return this.#refused(failure);
    return { isOk: true, value: undefined, clockMs: this.clockMs };
  }

  async #unanswered<T>(): Promise<RunnerAnswer<T>> {
    await this.clock.sleep(timeoutMs);
    return { isOk: false, failure: "unknown", clockMs: undefined };
  }

  #refused<T>(failure: RunnerFailure): RunnerAnswer<T> {
    return { isOk: false, failure, clockMs: this.clockMs };
  }
}
