import { setTimeout as sleep } from "node:timers/promises";
import type { StartOrder } from "../core/cell/start_order.ts";
import type { StartRefusal } from "../core/cell/start_refusal.ts";
import type { RunEnd } from "../core/jobs/run_end.ts";
import type { RunStatus } from "../core/jobs/run_status.ts";
import type { RunnerLife } from "../core/jobs/runner_life.ts";
import type { TaskName } from "../core/jobs/task_name.ts";
import type { Logger } from "../adapters/logger.ts";
import { FillerPace } from "../core/interfere/filler_pace.ts";
import type { FillerView } from "../core/interfere/filler_view.ts";
import type { ServiceView } from "../core/interfere/service_view.ts";
import type { KeeperMessage } from "../link/keeper_message.ts";
import type { MemberMessage } from "../link/member_message.ts";
import type { Pressure } from "../link/pressure.ts";
import type { StopOrder } from "../link/stop_order.ts";
import { hasRoom } from "./has_room.ts";
import { lifeOf } from "./life_of.ts";
import type { Run } from "./run.ts";
import type { RunnerAnswer } from "./runner_answer.ts";
import type { RunnerClient } from "./runner_client.ts";
import { RunnerClock } from "./runner_clock.ts";
import type { RunnerInfo } from "./runner_info.ts";
import type { RunnerLook } from "./runner_look.ts";

/** How long a look at the runner waits for an end. */
const lookWaitMs = 400;
/** The pause after a look that found ends nobody has stored yet. */
const pendingEndsPauseMs = 40;
const failedLookPauseMs = 100;
/** The pace of a run that was found is not known, so it is told anew. */
const unknownPace = -1;
const reportEveryMs = 450;
/** Figures are of the last half second, so the pace is not set more often. */
const paceEveryMs = 350;
const retryPauseMs = 30;
/** How far a lease must have passed before its runs count as gone. */
const lapseMarginMs = 300;
/** Reports whose renewal may still come. */
const mostOpenReports = 64;

/**
 * The last gate before a runner: carries orders out, holds the runner's lease
 * while its keeper renews it, and never lets a run in that does not fit.
 */
export class Gate {
  #info: RunnerInfo | undefined;
  #epoch = 0;
  #send: ((message: MemberMessage) => void) | undefined;
  readonly #runs = new Map<string, Run>();
  readonly #clock = new RunnerClock();
  readonly #pace = new FillerPace();
  #pressures: readonly Pressure[] = [];
  /** The least that the runner's clock showed when each report was sent. */
  readonly #reports = new Map<number, number>();
  #reportNumber = 0;
  #reportedAtMs = 0;
  #reportedEnd = 0;
  #untilClockMs: number | undefined;
  /** The latest lease end that any call may have set. */
  #grantedClockMs = 0;
  #forgetUpTo = 0;
  #running: readonly RunStatus[] = [];
  #ends: readonly RunEnd[] = [];
  #pacedAtMs = 0;
  #lookSentAtMs = 0;
  #isUp = false;
  #isDraining = false;
  #isStopped = false;
  #wake: () => void = () => {};

  constructor(
    readonly runner: RunnerClient,
    readonly maxHoldMs: number,
    readonly log: Logger,
    readonly now: () => number = () => performance.now(),
  ) {}

  /** The highest epoch of a keeper that was heard. */
  get epoch(): number {
    return this.#epoch;
  }

  /** What the runner said of itself last. */
  get info(): RunnerInfo | undefined {
    return this.#info;
  }

  /** Takes a heartbeat; tells whether the runner may count on it. */
  heartbeat(info: RunnerInfo): boolean {
    const known = this.#info;
    if (known !== undefined && info.bornMs < known.bornMs) return true;
    const isSame = known?.bornMs === info.bornMs;
    if (isSame && info.sequence < known.sequence) return true;
    if (!isSame) this.#beginLife(info);
    this.#info = info;
    if (info.isDraining && !this.#isDraining) {
      this.#isDraining = true;
      this.log.info("runner_draining", { life: lifeOf(info) });
      this.#report();
    }
    return true;
  }

  /** The runner has said that it ends. */
  leave(instance: string): void {
    if (this.#info?.instance !== instance) return;
    this.#isDraining = true;
    this.#isUp = false;
    this.log.info("runner_left", { instance });
    this.#report();
  }

  /** A keeper is there: serves it unless a newer one was heard. */
  attach(epoch: number, send: (message: MemberMessage) => void): boolean {
    if (epoch < this.#epoch) return false;
    this.#epoch = epoch;
    this.#send = undefined;
    void this.#look(0, true).then(() => {
      if (this.#epoch !== epoch) return;
      this.#send = send;
      this.#report();
    });
    return true;
  }

  /** The keeper's connection is gone. */
  detach(epoch: number): void {
    if (epoch === this.#epoch) this.#send = undefined;
  }

  /** Carries out what the keeper wants. */
  take(message: KeeperMessage): void {
    switch (message.kind) {
      case "renew":
        this.#renew(message.report);
        this.#pressures = message.pressures;
        break;
      case "orders":
        for (const order of message.stops) this.#takeStop(order);
        for (const order of message.starts) this.#takeStart(order);
        break;
      case "known":
        for (const order of message.runs) this.#learn(order);
        break;
      case "forget":
        if (message.life !== this.#life()) break;
        this.#forgetUpTo = Math.max(this.#forgetUpTo, message.end);
        this.#ends = this.#ends.filter(({ number }) =>
          number > this.#forgetUpTo
        );
        this.#wake();
        break;
    }
  }

  /** Looks after the runner until stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      if (this.#info === undefined || this.#epoch === 0) {
        await this.#pause(failedLookPauseMs);
        continue;
      }
      const isFine = await this.#look(lookWaitMs, false);
      this.#settleStops();
      this.#control();
      this.#reportIfDue();
      if (!isFine) await this.#pause(failedLookPauseMs);
      else if (this.#ends.length > 0) await this.#pause(pendingEndsPauseMs);
    }
  }

  /** Ends the loop. */
  stop(): void {
    this.#isStopped = true;
    this.#wake();
  }

  #life(): RunnerLife | undefined {
    return this.#info === undefined ? undefined : lifeOf(this.#info);
  }

  #beginLife(info: RunnerInfo): void {
    this.log.info("runner_life", {
      life: lifeOf(info),
      cpu_milli: info.capacity.cpuMilli,
    });
    this.#info = info;
    this.#runs.clear();
    this.#clock.reset();
    this.#reports.clear();
    this.#untilClockMs = undefined;
    this.#grantedClockMs = 0;
    this.#forgetUpTo = 0;
    this.#reportedEnd = 0;
    this.#running = [];
    this.#ends = [];
    this.#isUp = false;
    this.#isDraining = info.isDraining;
    this.#pace.clear();
  }

  async #look(waitMs: number, isSilent: boolean): Promise<boolean> {
    const info = this.#info;
    if (info === undefined) return false;
    const sentAtMs = this.now();
    const untilClockMs = this.#untilClockMs;
    this.#grant(untilClockMs);
    const answer = await this.runner.hold({
      instance: info.instance,
      epoch: this.#epoch,
      forgetUpTo: this.#forgetUpTo,
      untilClockMs,
      waitMs,
    });
    if (this.#info?.bornMs !== info.bornMs) return false;
    if (!answer.isOk || answer.value.bornMs !== info.bornMs) {
      this.#lookFailed(answer.isOk ? "other_life" : answer.failure);
      return false;
    }
    if (!this.#isUp && !isSilent) this.log.info("runner_up", {});
    this.#isUp = true;
    this.#clock.read(answer.clockMs, this.now());
    this.#takeLook(answer.value, sentAtMs);
    return true;
  }

  #lookFailed(failure: string): void {
    if (this.#isUp) {
      this.#isUp = false;
      this.log.warn("runner_down", { failure });
      this.#report();
    }
  }

  #takeLook(look: RunnerLook, sentAtMs: number): void {
    if (sentAtMs < this.#lookSentAtMs) return;
    this.#lookSentAtMs = sentAtMs;
    this.#running = look.running;
    this.#ends = look.ends.filter(({ number }) => number > this.#forgetUpTo);
    const listed = new Map(look.running.map((run) => [keyOf(run), run]));
    const ended = new Set(look.ends.map(keyOf));
    for (const [key, run] of this.#runs) {
      if (ended.has(key)) this.#runs.delete(key);
      else if (listed.has(key)) continue;
      else if (run.stoppedAtMs !== undefined && run.stoppedAtMs < sentAtMs) {
        this.#runs.delete(key);
        this.#refuse(run, "old");
      }
    }
    for (const [key, status] of listed) {
      const known = this.#runs.get(key);
      if (known === undefined) this.#runs.set(key, foundRun(status));
      else if (known.phase === "starting") known.isUncertain = false;
    }
    const newest = this.#ends.at(-1)?.number ?? 0;
    if (newest > this.#reportedEnd) this.#report();
  }

  #renew(report: number): void {
    const clockMs = this.#reports.get(report);
    if (clockMs === undefined) return;
    for (const number of this.#reports.keys()) {
      if (number <= report) this.#reports.delete(number);
    }
    const untilMs = Math.floor(clockMs + this.maxHoldMs);
    this.#untilClockMs = Math.max(this.#untilClockMs ?? 0, untilMs);
  }

  #grant(untilClockMs: number | undefined): void {
    this.#grantedClockMs = Math.max(this.#grantedClockMs, untilClockMs ?? 0);
  }

  #reportIfDue(): void {
    if (this.now() - this.#reportedAtMs >= reportEveryMs) this.#report();
  }

  #report(): void {
    const info = this.#info;
    if (this.#send === undefined || info === undefined) return;
    const nowMs = this.now();
    this.#reportNumber += 1;
    this.#reportedAtMs = nowMs;
    this.#reportedEnd = this.#ends.at(-1)?.number ?? this.#reportedEnd;
    if (this.#isUp) {
      this.#reports.set(this.#reportNumber, this.#clock.leastAt(nowMs));
    }
    const [oldest] = this.#reports.keys();
    if (this.#reports.size > mostOpenReports && oldest !== undefined) {
      this.#reports.delete(oldest);
    }
    const lapsedAtMs = this.#clock.surelyPassedAt(this.#grantedClockMs) +
      lapseMarginMs;
    this.#send({
      kind: "report",
      number: this.#reportNumber,
      report: {
        life: lifeOf(info),
        pool: info.pool,
        zone: info.zone,
        rack: info.rack,
        labels: info.labels,
        capacity: info.capacity,
        isDraining: this.#isDraining,
        isUp: this.#isUp,
        isLapsed: !this.#isUp && nowMs > lapsedAtMs,
        running: this.#running,
        ends: this.#ends,
        unexplained: [...this.#runs.values()]
          .filter(({ order }) => order === undefined).length,
      },
    });
  }

  #learn(order: StartOrder): void {
    const run = this.#runs.get(keyOf(order));
    if (run !== undefined) run.order ??= order;
  }

  #takeStart(order: StartOrder): void {
    if (this.#runs.has(keyOf(order))) {
      this.#learn(order);
      return;
    }
    const run: Run = {
      task: order.task,
      run: order.run,
      order,
      phase: "starting",
      isUncertain: false,
      isUnwanted: false,
      stoppedAtMs: undefined,
      pace: 100,
      isPacing: false,
    };
    const refusal = this.#whyNot(order);
    if (refusal !== undefined) {
      this.#refuse(run, refusal);
      return;
    }
    this.#runs.set(keyOf(run), run);
    void this.#start(run, order);
  }

  #whyNot(order: StartOrder): StartRefusal | undefined {
    const info = this.#info;
    if (info === undefined || order.life !== lifeOf(info)) return "other_life";
    if (this.#isDraining) return "draining";
    if (!this.#isUp || this.#untilClockMs === undefined) return "unhealthy";
    const others = [...this.#runs.values()];
    return hasRoom(info.capacity, others, order) ? undefined : "no_room";
  }

  async #start(run: Run, order: StartOrder): Promise<void> {
    const instance = this.#info!.instance;
    while (this.#isCurrent(run)) {
      const untilClockMs = this.#untilClockMs ?? 0;
      this.#grant(untilClockMs);
      const answer = await this.runner.start({
        instance,
        epoch: this.#epoch,
        task: run.task,
        run: run.run,
        payload: order.payload,
        checkpoint: order.checkpoint,
        ticket: undefined,
        untilClockMs,
      });
      if (!this.#isCurrent(run)) return;
      this.#readClock(answer);
      if (answer.isOk) {
        run.isUncertain = false;
        run.phase = "running";
        this.#send?.({ kind: "started", task: run.task, run: run.run });
        if (run.isUnwanted) void this.#stop(run);
        return;
      }
      if (answer.failure === "unknown") {
        run.isUncertain = true;
        if (run.isUnwanted) break;
        this.log.warn("start_unanswered", { task: run.task, run: run.run });
        await sleep(retryPauseMs);
        continue;
      }
      if (run.isUncertain) break;
      this.#runs.delete(keyOf(run));
      this.#refuse(run, refusalOf(answer.failure));
      return;
    }
    if (this.#isCurrent(run)) void this.#stop(run);
  }

  #takeStop(order: StopOrder): void {
    if (order.life !== this.#life()) return;
    const key = keyOf(order);
    const known = this.#runs.get(key);
    const run = known ?? foundRun(order);
    this.#runs.set(key, run);
    if (run.phase === "starting") run.isUnwanted = true;
    else if (run.phase === "running") void this.#stop(run);
  }

  async #stop(run: Run): Promise<void> {
    run.phase = "stopping";
    const instance = this.#info!.instance;
    const { task } = run;
    while (this.#isCurrent(run)) {
      const epoch = this.#epoch;
      const answer = await this.runner.stop({
        instance,
        epoch,
        task,
        run: run.run,
      });
      this.#readClock(answer);
      if (answer.isOk) {
        run.stoppedAtMs = this.now();
        this.#wake();
        return;
      }
      await sleep(retryPauseMs);
    }
  }

  /** Asks for a look when a stop waits for one to show that its run is gone. */
  #settleStops(): void {
    for (const run of this.#runs.values()) {
      if (run.stoppedAtMs !== undefined) this.#reportedAtMs = 0;
    }
  }

  /** Sets the fillers' pace by how the services beside them do. */
  #control(): void {
    const nowMs = this.now();
    if (nowMs - this.#pacedAtMs < paceEveryMs) return;
    this.#pacedAtMs = nowMs;
    const statuses = new Map(this.#running.map((run) => [keyOf(run), run]));
    const capacityMilli = Math.max(1, this.#info?.capacity.cpuMilli ?? 1);
    const services: ServiceView[] = [];
    const fillers: FillerView[] = [];
    for (const [key, { order }] of this.#runs) {
      const status = statuses.get(key);
      if (order === undefined || status === undefined) continue;
      const { isFiller, isService, targetLatencyMs, image = "" } = order;
      const { figure } = status;
      if (isFiller) fillers.push({ image, use: figure / capacityMilli });
      else if (isService && targetLatencyMs > 0) {
        const pressures = this.#pressuresOn(image);
        services.push({ part: figure / targetLatencyMs, pressures });
      }
    }
    this.#pace.observe(services, fillers, nowMs);
    for (const [key, run] of this.#runs) {
      if (!run.order?.isFiller || !statuses.has(key) || run.isPacing) continue;
      const pace = this.#pace.of(run.order.image ?? "");
      if (run.pace !== pace) void this.#setPace(run, pace);
    }
  }

  #pressuresOn(image: string): ReadonlyMap<string, number> {
    return new Map(
      this.#pressures.filter(([service]) => service === image)
        .map(([, filler, pressure]) => [filler, pressure]),
    );
  }

  async #setPace(run: Run, percent: number): Promise<void> {
    run.isPacing = true;
    this.log.info("pace", { task: run.task, percent, was: run.pace });
    const answer = await this.runner.pace({
      instance: this.#info!.instance,
      epoch: this.#epoch,
      task: run.task,
      run: run.run,
      percent,
    });
    this.#readClock(answer);
    run.isPacing = false;
    if (answer.isOk) run.pace = percent;
  }

  #refuse(run: Run, reason: StartRefusal): void {
    this.log.info("start_refused", { task: run.task, run: run.run, reason });
    const { task } = run;
    this.#send?.({ kind: "refused", task, run: run.run, reason });
  }

  #readClock(answer: RunnerAnswer<unknown>): void {
    if (answer.clockMs === undefined) return;
    this.#clock.read(answer.clockMs, this.now());
  }

  #isCurrent(run: Run): boolean {
    return !this.#isStopped && this.#runs.get(keyOf(run)) === run;
  }

  async #pause(pauseMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, pauseMs);
      this.#wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}

function keyOf({ task, run }: { task: TaskName; run: number }): string {
  return `${task}#${run}`;
}

function foundRun(
  { task, run }: { task: TaskName; run: number },
): Run {
  return {
    task,
    run,
    order: undefined,
    phase: "running",
    isUncertain: false,
    isUnwanted: false,
    stoppedAtMs: undefined,
    pace: unknownPace,
    isPacing: false,
  };
}

function refusalOf(failure: string): StartRefusal {
  switch (failure) {
    case "old":
    case "late":
    case "no_room":
    case "other_life":
    case "rejected":
      return failure;
    default:
      return "unhealthy";
  }
}
