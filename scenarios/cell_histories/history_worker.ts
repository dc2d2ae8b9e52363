import type { Logger } from "../../src/adapters/logger.ts";
import type { KeeperBounds } from "../../src/cellhost/keeper_bounds.ts";
import type { NodeId } from "../../src/core/jobs/node_id.ts";
import type { Clock } from "../../src/core/clock/clock.ts";
import type { RunEnd } from "../../src/core/jobs/run_end.ts";
import type { TaskName } from "../../src/core/jobs/task_name.ts";
import type { RunnerModel } from "../../stand_ins/runner/runner_model.ts";
import type { SeededRandom } from "../../stand_ins/seeded_random.ts";
import { announceExit } from "./announce_exit.ts";
import { HistorySidecar } from "./history_sidecar.ts";
import type { PeerAnnouncer } from "../../src/nodes/peer_announcer.ts";
import { createRunner } from "./create_runner.ts";
import { failLater } from "./fail_later.ts";
import { failingImage as failing } from "./failing_image.ts";
import { HistoryHeartbeats } from "./history_heartbeats.ts";
import { ProcessClock } from "./process_clock.ts";
import type { RunChecker } from "./run_checker.ts";
import { runMsOf } from "./run_ms_of.ts";
import { RunProgress } from "./run_progress.ts";

const failureShare = 0.08;
const maxStopMs = 400;
const slowestRate = 0.98;
/** How often late commands are carried out, and by what chance each time. */
const lateIntervalMs = 400;
const lateShare = 0.1;
const lapseCheckMs = 100;
/** From the end of a runner's life to the next one. */
const restartMs = 150;
/** The same after a crash, and from the start that causes it to the crash. */
const crashedMs = 3_000;
const crashAfterMs = 10;
/** From the start of a service's run until it works. */
const startupMs = 250;
/** From the exit of a runner that leaves to the end of its sidecar. */
const sidecarEndsMs = 1_000;

type Trace = (line: string) => void;
/** A run as the model lists it. */
type ServiceRun = { readonly task: TaskName; percent: number };

/** A worker of a history: a runner and the process of its sidecar. */
export class HistoryWorker {
  runner: RunnerModel;
  sidecar: HistorySidecar | undefined;
  /** Called before a start counts. */
  onStart: () => void = () => {};
  /** Called when a runner begins anew after it had not left. */
  onRestarted: () => void = () => {};
  /** Called when a runner lists the end of a run. */
  onEnded: (end: RunEnd) => void = () => {};
  /** Called when the process of its sidecar ends. */
  onSidecarEnded: () => void = () => {};
  /** Whether the runner has left, and has no next life yet. */
  hasLeft = false;
  /** Until when no keeper can connect to it, by the world's clock. */
  cutUntilMs = 0;
  #isSilenced = false;
  /** Whether the runner is between two lives. */
  #isDown = false;
  readonly #heartbeats: HistoryHeartbeats;
  readonly #progress: RunProgress;
  /** How often the lease had lapsed when each end came. */
  readonly #lapsesAtEnd = new Map<number, number>();

  constructor(
    readonly node: NodeId,
    readonly world: Clock,
    readonly random: SeededRandom,
    readonly bounds: KeeperBounds,
    readonly checker: RunChecker,
    readonly log: Logger,
    readonly trace: Trace,
    readonly createAnnouncer: (
      node: NodeId,
      clock: ProcessClock,
    ) => PeerAnnouncer | undefined,
  ) {
    this.#progress = new RunProgress(world);
    this.#heartbeats = new HistoryHeartbeats(this);
    this.runner = createRunner(world, {
      clockRate: slowestRate + random.next() * (1 - slowestRate),
      isFencing: random.next() < 0.5,
      stopMs: () => random.next() * maxStopMs,
    });
    this.#observe();
    this.startSidecar();
    void this.#heartbeats.run();
    void this.#carryOutLate();
    void this.#checkLapses();
  }

  get isDraining(): boolean {
    return this.#heartbeats.isDraining;
  }

  /** Each worker has a data centre of its own. */
  get zone(): string {
    return `zone-${this.node}`;
  }

  startSidecar(): void {
    const clock = new ProcessClock(this.world);
    const { runner, bounds, zone, log } = this;
    const announcer = this.createAnnouncer(this.node, clock);
    this.sidecar = new HistorySidecar(
      runner,
      clock,
      bounds,
      zone,
      log,
      announcer,
    );
    this.#heartbeats.sendSoon();
  }

  killSidecar(): void {
    this.sidecar?.clock.kill();
    this.sidecar = undefined;
    this.onSidecarEnded();
  }

  /** Whether a fault concerns it; a runner that leaves is none. */
  get isFaulty(): boolean {
    const { cutUntilMs, hasLeft, runner, sidecar, world } = this;
    return this.#isDown || this.#isSilenced || runner.faults.length > 0 ||
      runner.cut !== undefined || this.#heartbeats.isUnheard ||
      world.nowMs() < cutUntilMs || (sidecar?.clock.pausedMs ?? 0) > 0 ||
      (sidecar === undefined && !hasLeft);
  }

  /**
   * The runner drains, announces its exit and ends with all its runs. Its
   * sidecar ends a little later. Both begin anew after a while, if at all: the
   * runner then has another id.
   */
  leave(drainMs: number, awayMs: number): void {
    if (this.#isDown || this.hasLeft) return;
    this.drain();
    void this.#leave(drainMs, awayMs);
  }

  async #leave(drainMs: number, awayMs: number): Promise<void> {
    const { runner, world } = this;
    const { bornMs } = runner;
    await world.sleep(drainMs);
    const isOver = () =>
      this.#isDown || this.hasLeft || runner !== this.runner ||
      bornMs !== runner.bornMs;
    if (isOver()) return;
    await announceExit(runner, () => this.sidecar, world, isOver);
    if (isOver()) return;
    this.trace(`${this.node} runner leaves`);
    this.hasLeft = true;
    runner.exit();
    const { sidecar } = this;
    void sidecar?.awaitEnd(sidecarEndsMs).then(() => {
      if (this.sidecar === sidecar) this.killSidecar();
    });
    await world.sleep(awayMs);
    if (this.runner === runner) this.comeBack();
  }

  /** A runner with another id begins, beside another sidecar. */
  comeBack(): void {
    if (!this.hasLeft) return;
    this.killSidecar();
    const instance = `${this.runner.instance}+`;
    this.runner = createRunner(this.world, { ...this.runner, instance });
    this.hasLeft = false;
    this.#observe();
    this.#beginLife();
    this.startSidecar();
  }

  /** The runner dies with all its runs; after a while it begins a new life. */
  restartRunner(downMs = restartMs): void {
    if (this.hasLeft) return;
    this.trace(`${this.node} runner ends`);
    this.checker.lostLife(this.node);
    this.runner.running.clear();
    this.#isDown = true;
    this.silence(this.#isSilenced);
    void this.world.sleep(downMs).then(() => {
      this.#beginLife();
      this.onRestarted();
    });
  }

  /**
   * The runner dies, and its next life begins in place: it takes the calls that
   * come meanwhile. Its first heartbeat comes some time after it has begun, and
   * the last one of the life before arrives late.
   */
  returnInPlace(gapMs: number, heartbeatAfterMs: number): void {
    if (this.hasLeft || this.#isDown) return;
    this.#heartbeats.deliverLate(heartbeatAfterMs / 2);
    this.runner.beginReturn();
    this.#heartbeats.keepUnheard(gapMs + heartbeatAfterMs);
    this.restartRunner(gapMs);
  }

  /** Cuts the runner off: its calls or their answers are lost, until `mend`. */
  cutOff(lost: "calls" | "answers", forMs: number, isHeard: boolean): void {
    if (this.hasLeft) return;
    this.trace(`${this.node} is cut off, ${lost} are lost`);
    this.runner.cut = lost;
    if (!isHeard) this.#heartbeats.keepUnheard(forMs);
    void this.world.sleep(forMs).then(() => this.mend());
  }

  /** Ends what `cutOff` began. */
  mend(): void {
    this.runner.cut = undefined;
    this.#heartbeats.hear();
  }

  /** Changes the capacity, which the next heartbeats tell. */
  resize(cpuMilli: number): void {
    if (cpuMilli === this.#heartbeats.cpuMilli) return;
    this.trace(`${this.node} has ${cpuMilli}`);
    this.#heartbeats.cpuMilli = cpuMilli;
    this.checker.resized(this.node, cpuMilli, this.world.nowMs());
  }

  #beginLife(): void {
    this.trace(`${this.node} new life`);
    // Commands that were on their way may have started runs in the meantime.
    this.checker.lostLife(this.node);
    this.runner.restart();
    this.#isDown = false;
    this.silence(this.#isSilenced);
    this.#lapsesAtEnd.clear();
    this.#heartbeats.beginLife();
  }

  /** Crashes the runner if it is up and a run is still active there. */
  #crashIn(run: { readonly task: TaskName }): void {
    if (this.#isDown || this.runner.running.get(run.task) !== run) return;
    this.checker.crashed(this.node, run.task);
    this.restartRunner(crashedMs);
  }

  /** Whether the runner answers no call, though it works on. */
  silence(isSilenced: boolean): void {
    this.#isSilenced = isSilenced;
    const isGone = this.#isDown && !this.runner.isReturning;
    this.runner.isSilent = isSilenced || isGone;
  }

  drain(): void {
    if (this.hasLeft) return;
    this.#heartbeats.isDraining = true;
    this.#heartbeats.sendSoon();
  }

  #observe(): void {
    const { checker, node, random, runner, trace, world } = this;
    runner.observer = {
      onStarted: (run, payload) => {
        this.onStart();
        trace(`${node} starts ${run.task}#${run.run}`);
        checker.started(node, run, payload, world.nowMs());
        if (checker.crashingTasks.has(run.task)) {
          void world.sleep(crashAfterMs).then(() => this.#crashIn(run));
        }
        checker.startedIn(this.zone, run, world.nowMs());
        const step = checker.stepOf(run.task);
        if (step?.isService) return this.#serve(run, step.image === failing);
        const runMs = runMsOf(step, random);
        this.#progress.begin(run, runMs);
        const outcome = random.next() < failureShare ? "failed" : "done";
        void world.sleep(runMs).then(() => {
          this.#progress.end(run);
          if (runner.running.get(run.task) === run) {
            runner.end(run.task, outcome);
          }
        });
      },
      onEnded: (end) => {
        trace(`${node} ends ${end.task}#${end.run} ${end.outcome}`);
        this.#lapsesAtEnd.set(end.number, runner.lapseCount);
        checker.ended(node, end);
        this.onEnded(end);
      },
      onForgotten: (end) => {
        // An end that a lapse separates from its note does not stand.
        if (runner.clockMs >= runner.leaseEndClockMs) return;
        if (this.#lapsesAtEnd.get(end.number) !== runner.lapseCount) return;
        checker.noted(end);
      },
    };
  }

  /** A run of a service works until it is stopped, or fails by itself. */
  #serve(run: ServiceRun, isFailing: boolean): void {
    const { random, runner, world } = this;
    this.#progress.begin(run, startupMs);
    if (isFailing) void failLater(runner, run, world, random);
  }

  async #carryOutLate(): Promise<void> {
    while (true) {
      await this.world.sleep(lateIntervalMs);
      if (this.random.next() < lateShare) this.runner.applyDelayed();
    }
  }

  async #checkLapses(): Promise<void> {
    while (true) {
      await this.world.sleep(lapseCheckMs);
      this.runner.endIfLapsed();
      this.#progress.update();
    }
  }
}
