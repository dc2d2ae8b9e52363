import type { Logger } from "../adapters/logger.ts";
import type { Clock } from "../core/clock/clock.ts";
import type { RunEnd } from "../core/jobs/run_end.ts";
import type { RunStatus } from "../core/jobs/run_status.ts";
import type { KeeperMessage } from "../link/keeper_message.ts";
import type { MemberMessage } from "../link/member_message.ts";
import type { GateContext } from "./gate_context.ts";
import { lifeOf } from "./life_of.ts";
import { PaceKeeper } from "./pace_keeper.ts";
import { RunBook } from "./run_book.ts";
import type { RunnerAnswer } from "./runner_answer.ts";
import type { RunnerClient } from "./runner_client.ts";
import type { RunnerInfo } from "./runner_info.ts";
import { RunnerLease } from "./runner_lease.ts";
import type { RunnerLook } from "./runner_look.ts";

/** How long a poll waits at the runner for a run to end. */
const pollWaitMs = 400;
/** The pause while ends are not yet stored; polls return at once then. */
const pendingEndsPauseMs = 40;
const failedPollPauseMs = 100;
const reportIntervalMs = 450;
/** Consecutive polls without answer after which a runner counts as down. */
const pollsBeforeDown = 2;

type Send = (message: MemberMessage) => void;

/**
 * Controls the runner beside a sidecar. It executes the keeper's commands,
 * polls the runner, reports to the keeper, and extends the runner's lease as
 * long as the keeper renews it. It starts no run for which there is no room.
 */
export class Gate implements GateContext {
  info: RunnerInfo | undefined;
  epoch = 0;
  isUp = false;
  isDraining = false;
  isStopped = false;
  readonly lease: RunnerLease;
  readonly #tracker: RunBook;
  readonly #paceController: PaceKeeper;
  /** The newest connection of a keeper. */
  #attached: Send | undefined;
  /** The same, once the first poll for it is done and reports may be sent. */
  #send: Send | undefined;
  #reportNumber = 0;
  #reportedAtMs = -Infinity;
  #reportedEndNumber = 0;
  /** The keeper has stored the ends up to this number. */
  #forgetUpTo = 0;
  #failedPolls = 0;
  #appliedPollSentAtMs = -Infinity;
  #running: readonly RunStatus[] = [];
  #ends: readonly RunEnd[] = [];
  #wake: () => void = () => {};

  constructor(
    readonly runner: RunnerClient,
    maxHoldMs: number,
    readonly clock: Clock,
    readonly log: Logger,
  ) {
    this.lease = new RunnerLease(maxHoldMs, clock.nowMs());
    this.#tracker = new RunBook(this);
    this.#paceController = new PaceKeeper(this, this.#tracker);
  }

  /** Handles a heartbeat; one of an earlier life or out of order is ignored. */
  heartbeat(heartbeat: RunnerInfo): void {
    const { info: known } = this;
    if (known !== undefined && heartbeat.bornMs < known.bornMs) return;
    const isSameLife = known?.bornMs === heartbeat.bornMs;
    if (isSameLife && heartbeat.sequence < known.sequence) return;
    this.info = heartbeat;
    if (!isSameLife) this.#beginLife(heartbeat);
    if (!heartbeat.isDraining || this.isDraining) return;
    this.isDraining = true;
    this.log.info("runner_draining", { life: lifeOf(heartbeat) });
    this.#sendReport();
  }

  /** Handles the announcement of a runner that it exits. */
  leave(instance: string): void {
    if (this.info?.instance !== instance) return;
    this.isDraining = true;
    this.isUp = false;
    this.log.info("runner_left", { instance });
    this.#sendReport();
  }

  /**
   * Accepts a keeper's connection, unless one with a higher epoch is known.
   * Reports follow after a first poll. Returns whether it was accepted.
   */
  attach(epoch: number, send: Send): boolean {
    if (epoch < this.epoch) return false;
    this.epoch = epoch;
    this.#attached = send;
    this.#send = undefined;
    void this.#poll(0).then(() => {
      if (this.#attached !== send) return;
      this.#send = send;
      this.#sendReport();
    });
    return true;
  }

  /** Drops a closed connection, unless a newer one has replaced it. */
  detach(send: Send): void {
    if (send !== this.#attached) return;
    this.#attached = undefined;
    this.#send = undefined;
  }

  /** Handles a message from the keeper. */
  take(message: KeeperMessage): void {
    switch (message.kind) {
      case "renew":
        this.lease.renewed(message.report);
        this.#paceController.pressures = message.pressures;
        break;
      case "orders":
        for (const command of message.stops) this.#tracker.stop(command);
        for (const command of message.starts) this.#tracker.start(command);
        break;
      case "known":
        for (const command of message.runs) this.#tracker.learn(command);
        break;
      case "forget":
        if (this.info === undefined || message.life !== lifeOf(this.info)) {
          break;
        }
        this.#forgetEnds(message.end);
        break;
    }
  }

  /** Polls the runner and sends reports until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      if (this.info === undefined || this.epoch === 0) {
        await this.#pause(failedPollPauseMs);
        continue;
      }
      const isAnswered = await this.#poll(pollWaitMs);
      if (isAnswered) this.#paceController.observe(this.#running);
      const isReportDue =
        this.clock.nowMs() - this.#reportedAtMs >= reportIntervalMs;
      if (isReportDue || this.#tracker.hasStopped) this.#sendReport();
      if (!isAnswered) await this.#pause(failedPollPauseMs);
      else if (this.#ends.length > 0) await this.#pause(pendingEndsPauseMs);
    }
  }

  /** Stops the loop of `run`. */
  stop(): void {
    this.isStopped = true;
    this.#wake();
  }

  send(message: MemberMessage): void {
    this.#send?.(message);
  }

  heard(answer: RunnerAnswer<unknown>): void {
    if (answer.clockMs === undefined) return;
    this.lease.clock.read(answer.clockMs, this.clock.nowMs());
  }

  lookSoon(): void {
    this.#wake();
  }

  #forgetEnds(end: number): void {
    this.#forgetUpTo = Math.max(this.#forgetUpTo, end);
    this.#ends = this.#ends.filter(({ number }) => number > this.#forgetUpTo);
    this.#wake();
  }

  #beginLife(heartbeat: RunnerInfo): void {
    this.log.info("runner_life", {
      life: lifeOf(heartbeat),
      cpu_milli: heartbeat.capacity.cpuMilli,
    });
    this.#tracker.newLife();
    this.#paceController.reset();
    this.lease.reset(this.clock.nowMs());
    this.#forgetUpTo = 0;
    this.#reportedEndNumber = 0;
    this.#running = [];
    this.#ends = [];
    this.isUp = false;
    this.isDraining = heartbeat.isDraining;
  }

  /**
   * Polls the runner for its runs and extends its lease to the end that the
   * keeper has granted. Returns whether the runner answered in the same life.
   */
  async #poll(waitMs: number): Promise<boolean> {
    const { info: heartbeat } = this;
    if (heartbeat === undefined) return false;
    const sentAtMs = this.clock.nowMs();
    const answer = await this.runner.hold({
      instance: heartbeat.instance,
      epoch: this.epoch,
      forgetUpTo: this.#forgetUpTo,
      untilClockMs: this.lease.grant(),
      waitMs,
    });
    if (this.info?.bornMs !== heartbeat.bornMs) return false;
    if (!answer.isOk || answer.value.bornMs !== heartbeat.bornMs) {
      this.#handleFailedPoll(answer.isOk ? "other_life" : answer.failure);
      return false;
    }
    this.#failedPolls = 0;
    if (!this.isUp) this.log.info("runner_up", { life: lifeOf(heartbeat) });
    this.isUp = true;
    this.heard(answer);
    this.#applyPoll(answer.value, sentAtMs);
    return true;
  }

  /** Counts a poll without answer, which a healthy runner may cause as well. */
  #handleFailedPoll(failure: string): void {
    this.#failedPolls += 1;
    if (!this.isUp) return;
    if (failure === "unknown" && this.#failedPolls < pollsBeforeDown) return;
    this.isUp = false;
    this.log.warn("runner_down", { failure });
    this.#sendReport();
  }

  /** Applies an answer, unless one to a later poll has overtaken it. */
  #applyPoll(poll: RunnerLook, sentAtMs: number): void {
    if (sentAtMs < this.#appliedPollSentAtMs) return;
    this.#appliedPollSentAtMs = sentAtMs;
    this.#running = poll.running;
    this.#ends = poll.ends.filter(({ number }) => number > this.#forgetUpTo);
    this.#tracker.takeLook(poll, sentAtMs);
    const newest = this.#ends.at(-1)?.number ?? 0;
    if (newest > this.#reportedEndNumber) this.#sendReport();
  }

  #sendReport(): void {
    const { info: heartbeat } = this;
    if (this.#send === undefined || heartbeat === undefined) return;
    const nowMs = this.clock.nowMs();
    this.#reportNumber += 1;
    this.#reportedAtMs = nowMs;
    this.#reportedEndNumber = this.#ends.at(-1)?.number ??
      this.#reportedEndNumber;
    if (this.isUp) this.lease.reported(this.#reportNumber, nowMs);
    this.#send({
      kind: "report",
      number: this.#reportNumber,
      report: {
        life: lifeOf(heartbeat),
        pool: heartbeat.pool,
        zone: heartbeat.zone,
        rack: heartbeat.rack,
        labels: heartbeat.labels,
        capacity: heartbeat.capacity,
        isDraining: this.isDraining,
        isUp: this.isUp,
        isLapsed: !this.isUp && this.lease.hasLapsed(nowMs),
        running: this.#running,
        ends: this.#ends,
        unexplained: this.#tracker.unexplained,
        unsettled: this.#tracker.unsettled,
      },
    });
  }

  /** Sleeps for the time, or until `#wake` is called. */
  async #pause(pauseMs: number): Promise<void> {
    const woken = new Promise<void>((resolve) => {
      this.#wake = resolve;
    });
    await Promise.race([this.clock.sleep(pauseMs), woken]);
  }
}
