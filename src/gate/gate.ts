import type { Logger } from "../adapters/logger.ts";
import type { Clock } from "../core/clock/clock.ts";
import type { RunnerLife } from "../core/jobs/runner_life.ts";
import type { RunStatus } from "../core/jobs/run_status.ts";
import type { KeeperMessage } from "../link/keeper_message.ts";
import type { PeerMessage } from "../link/peer_message.ts";
import { applyKeeperMessage } from "./apply_keeper_message.ts";
import { describeRunner } from "./describe_runner.ts";
import { EndLedger } from "./end_ledger.ts";
import type { GateContext } from "./gate_context.ts";
import { LifeEnd } from "./life_end.ts";
import { LifeEvidence } from "./life_evidence.ts";
import { KeeperAttachment } from "./keeper_attachment.ts";
import { lifeOf } from "./life_of.ts";
import { OrderWatch } from "./order_watch.ts";
import { PaceController } from "./pace_controller.ts";
import { RunTracker } from "./run_tracker.ts";
import type { RunnerResult } from "./runner_result.ts";
import type { RunnerClient } from "./runner_client.ts";
import type { RunnerHeartbeat } from "./runner_heartbeat.ts";
import { RunnerHealth } from "./runner_health.ts";
import { RunnerLease } from "./runner_lease.ts";
import type { RunnerPollResult } from "./runner_poll_result.ts";
import { CallSlots } from "./call_slots.ts";
import { SharedPoll } from "./shared_poll.ts";
import { StartPermit } from "./start_permit.ts";
import { StartWindow } from "./start_window.ts";
import { WakeablePause } from "./wakeable_pause.ts";

/** How long a poll waits at the runner for a run to end. */
const pollWaitMs = 400;
/** The pause while ends are not yet stored; polls return at once then. */
const pendingEndsPauseMs = 40;
const failedPollPauseMs = 100;
const reportIntervalMs = 450;

/**
 * Controls the runner beside a sidecar. It executes the keeper's commands,
 * polls the runner, reports to the keeper, and extends the runner's lease as
 * long as the keeper renews it. It starts no run for which there is no room.
 */
export class Gate implements GateContext {
  /** Called when a life of the runner has ended after it had left. */
  onEnded: (life: RunnerLife, before: readonly RunnerLife[]) => void = () => {};
  lastHeartbeat: RunnerHeartbeat | undefined;
  epoch = 0;
  isDraining = false;
  isStopped = false;
  readonly lease: RunnerLease;
  readonly permit: StartPermit;
  readonly startWindow: StartWindow;
  readonly slots = new CallSlots();
  readonly #tracker = new RunTracker(this);
  readonly #orderWatch = new OrderWatch(this);
  readonly #paceController: PaceController;
  readonly keeper = new KeeperAttachment();
  #reportNumber = 0;
  #reportedAtMs = -Infinity;
  #endLedger = new EndLedger();
  readonly #health = new RunnerHealth();
  readonly #lifeEnd: LifeEnd;
  readonly #lifeEvidence = new LifeEvidence();
  #appliedPollSentAtMs = -Infinity;
  #running: readonly RunStatus[] = [];
  readonly #pause: WakeablePause;
  readonly #sharedPoll = new SharedPoll(() => this.#poll(0));
  readonly pollNow = () => this.#sharedPoll.request();
  readonly send = (message: PeerMessage) => this.keeper.send(message);

  constructor(
    readonly runner: RunnerClient,
    maxHoldMs: number,
    readonly clock: Clock,
    readonly log: Logger,
    evacuateMs?: number,
  ) {
    this.startWindow = new StartWindow(evacuateMs);
    this.permit = new StartPermit(clock, () => this.#sendReport());
    this.#pause = new WakeablePause(clock);
    this.lease = new RunnerLease(maxHoldMs, clock.nowMs());
    this.#lifeEnd = new LifeEnd(this.#health, this.lease, this.#tracker);
    this.#paceController = new PaceController(this, this.#tracker);
  }

  get isUp(): boolean {
    return this.#health.isUp;
  }

  /** Handles a heartbeat, unless it is out of order or not the runner's. */
  handleHeartbeat(heartbeat: RunnerHeartbeat): void {
    const { lastHeartbeat: known } = this;
    if (known === undefined || this.#isKnownLife(heartbeat)) {
      this.#applyHeartbeat(heartbeat);
    } else if (!this.#lifeEvidence.mayYield(known, heartbeat)) return;
    else if (this.isUp) void this.#checkLife(known, heartbeat);
    else this.#applyHeartbeat(heartbeat);
  }

  /** Applies a heartbeat of another life unless the known life answers. */
  async #checkLife(
    known: RunnerHeartbeat,
    heartbeat: RunnerHeartbeat,
  ): Promise<void> {
    // One poll without answer does not yet tell that the life has ended.
    const isAnswered = await this.#poll(0) ||
      (this.isUp && await this.#poll(0));
    if (!this.#isKnownLife(known)) return;
    if (isAnswered) {
      const life = lifeOf(heartbeat);
      this.log.warn("heartbeat_ignored", { life, reason: "not the runner's" });
    } else if (!this.isUp) this.#applyHeartbeat(heartbeat);
  }

  #isKnownLife(heartbeat: RunnerHeartbeat): boolean {
    const { lastHeartbeat: known } = this;
    return known !== undefined && lifeOf(known) === lifeOf(heartbeat);
  }

  #applyHeartbeat(heartbeat: RunnerHeartbeat): void {
    const isFirst = this.lastHeartbeat === undefined;
    const isSameLife = this.#isKnownLife(heartbeat);
    if (isSameLife && !this.#lifeEvidence.isNewer(heartbeat)) return;
    this.lastHeartbeat = heartbeat;
    if (isSameLife) this.#tracker.fitStarts(heartbeat.capacity);
    else this.#beginLife(heartbeat, !isFirst && !this.isDraining);
    if (!heartbeat.isDraining || this.isDraining) return;
    this.isDraining = true;
    this.log.info("runner_draining", { life: lifeOf(heartbeat) });
    this.#sendReport();
  }

  /** Handles the announcement of an exit; returns whether any life is known. */
  handleLeave(instance: string, bornMs = this.lastHeartbeat?.bornMs): boolean {
    const { lastHeartbeat: known } = this;
    if (known === undefined) return false;
    if (known.instance !== instance || known.bornMs !== bornMs) return true;
    this.isDraining = true;
    this.#lifeEnd.recordLeave();
    this.log.info("runner_left", { instance });
    this.#sendReport();
    return true;
  }

  /**
   * Accepts a keeper's connection, unless one with a higher epoch is known.
   * Reports follow after a first poll. Returns whether it was accepted.
   */
  attachKeeper(epoch: number, send: GateContext["send"]): boolean {
    if (epoch < this.epoch) return false;
    this.epoch = epoch;
    this.startWindow.reset(this.clock.nowMs());
    this.keeper.attach(send);
    void this.#poll(0).then(() => {
      if (this.keeper.begin(send)) this.#sendReport();
    });
    return true;
  }

  /** Drops a closed connection, unless a newer one has replaced it. */
  detachKeeper(send: GateContext["send"]): void {
    this.keeper.detach(send);
  }

  /** Handles a message from the keeper. */
  handleMessage(message: KeeperMessage): void {
    applyKeeperMessage(message, this, {
      tracker: this.#tracker,
      paceController: this.#paceController,
      setStored: (life, end) => this.#setStored(life, end),
    });
  }

  #setStored(life: RunnerLife, end: number): void {
    if (!this.lastHeartbeat || life !== lifeOf(this.lastHeartbeat)) return;
    this.#endLedger.setStored(end);
    this.#pause.wake();
  }

  /** Polls the runner and sends reports until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      // That a runner which left has ended must be known without a keeper too.
      const mayPoll = this.epoch > 0 || this.#lifeEnd.hasLeft;
      if (this.lastHeartbeat === undefined || !mayPoll) {
        await this.#pause.sleep(failedPollPauseMs);
        continue;
      }
      const isAnswered = await this.#poll(pollWaitMs);
      this.#orderWatch.update(this.#tracker.runs.values());
      if (isAnswered) this.#paceController.update(this.#running);
      const sinceReportMs = this.clock.nowMs() - this.#reportedAtMs;
      const mayConfirmStop = this.#endLedger.hasAll &&
        this.#tracker.hasUnconfirmedStop;
      if (sinceReportMs >= reportIntervalMs || mayConfirmStop) {
        this.#sendReport();
      }
      if (!isAnswered) await this.#pause.sleep(failedPollPauseMs);
      else if (this.#endLedger.ends.length > 0) {
        await this.#pause.sleep(pendingEndsPauseMs);
      }
    }
  }

  /** Stops the loop of `run`. */
  stop(): void {
    this.isStopped = true;
    this.#pause.wake();
  }

  recordClock(answer: RunnerResult<unknown>, sentAtMs: number): void {
    const { clockMs } = answer;
    if (clockMs === undefined) return;
    this.#lifeEnd.recordReading(clockMs, sentAtMs, this.clock.nowMs());
  }

  #beginLife(heartbeat: RunnerHeartbeat, isAfterCrash: boolean): void {
    const life = lifeOf(heartbeat);
    const { cpuMilli } = heartbeat.capacity;
    this.log.info("runner_life", { life, cpu_milli: cpuMilli });
    this.#tracker.beginLife(isAfterCrash);
    this.#paceController.reset();
    this.lease.reset(this.clock.nowMs());
    this.#endLedger = new EndLedger();
    this.#lifeEnd.reset(life);
    this.#lifeEvidence.reset(heartbeat.sequence);
    this.#running = [];
    this.#health.reset();
    this.isDraining = heartbeat.isDraining;
    // Before any refusal of a start that the life before had not answered.
    this.#sendReport();
  }

  /**
   * Polls the runner for its runs and extends its lease to the end that the
   * keeper has granted. Returns whether the runner answered in the same life.
   */
  async #poll(waitMs: number): Promise<boolean> {
    const { lastHeartbeat: heartbeat } = this;
    if (heartbeat === undefined) return false;
    const sentAtMs = this.clock.nowMs();
    const forgetUpTo = this.#endLedger.upToForPoll(sentAtMs);
    const answer = await this.runner.hold({
      instance: heartbeat.instance,
      epoch: this.epoch,
      forgetUpTo,
      leaseEndClockMs: this.lease.grantIf(this.#health.hasAnswered(sentAtMs)),
      waitMs: forgetUpTo > 0 ? 0 : waitMs,
    });
    if (!this.#isKnownLife(heartbeat)) return false;
    if (this.#lifeEnd.isOutdated(sentAtMs)) return false;
    if (!answer.isOk || answer.value.bornMs !== heartbeat.bornMs) {
      const failure = answer.isOk ? "other_life" : answer.failure;
      if (answer.isOk) this.#lifeEnd.recordNextLife(this.clock.nowMs());
      if (failure === "other_life") this.#lifeEvidence.contradict();
      this.#handleFailedPoll(failure);
      return false;
    }
    this.#lifeEnd.recordKnownLife(sentAtMs);
    this.#lifeEvidence.confirm();
    const { clock } = this.lease;
    const atMs = clock.latestTimeOf(answer.clockMs, this.clock.nowMs());
    this.#endLedger.confirm(forgetUpTo, atMs);
    if (this.#health.recordAnswer(atMs)) {
      this.log.info("runner_up", { life: lifeOf(heartbeat) });
    }
    this.recordClock(answer, sentAtMs);
    this.#applyPoll(answer.value, sentAtMs);
    return true;
  }

  #handleFailedPoll(failure: string): void {
    this.#endLedger.doubt();
    this.#lifeEnd.recordFailure(failure, this.clock.nowMs());
    const isNewlyDown = this.#health.recordFailure(failure);
    if (isNewlyDown) this.log.warn("runner_down", { failure });
    const isNewlyEnded = this.#lifeEnd.isNewlyEnded(this.clock.nowMs());
    if (isNewlyDown || isNewlyEnded) this.#sendReport();
    if (!isNewlyEnded) return;
    const life = lifeOf(this.lastHeartbeat!);
    this.log.info("runner_ended", { life });
    this.onEnded(life, this.#lifeEnd.livesBefore);
  }

  /** Applies an answer, unless one to a later poll has overtaken it. */
  #applyPoll(poll: RunnerPollResult, sentAtMs: number): void {
    if (sentAtMs < this.#appliedPollSentAtMs) return;
    this.#appliedPollSentAtMs = sentAtMs;
    this.#running = poll.running;
    this.#endLedger.setListed(poll.ends, poll.hasAllEnds);
    this.#tracker.applyPoll(poll, sentAtMs);
    if (this.#endLedger.hasNew) this.#sendReport();
  }

  #sendReport(): void {
    const { lastHeartbeat: heartbeat } = this;
    if (!this.keeper.isReporting || heartbeat === undefined) return;
    const nowMs = this.clock.nowMs();
    this.#reportNumber += 1;
    this.#reportedAtMs = nowMs;
    this.#endLedger.setReported();
    this.startWindow.recordReport(this.#reportNumber, nowMs);
    if (this.isUp) {
      this.lease.recordReport(this.#reportNumber, nowMs);
      this.permit.recordReport(this.#reportNumber);
    }
    const report = {
      ...describeRunner(heartbeat),
      coldForMs: this.startWindow.evacuateMs && heartbeat.coldForMs,
      isDraining: this.isDraining,
      ...this.#lifeEnd.report(nowMs),
      running: this.#running,
      ...this.#endLedger.report(),
      ...this.#tracker.report(this.#health.isGone),
    };
    const number = this.#reportNumber;
    this.keeper.send({ kind: "report", number, report });
  }
}
