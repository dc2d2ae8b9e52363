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

/** How long a look at the runner waits for an end. */
const lookWaitMs = 400;
/** The pause after a look that found ends nobody has stored yet. */
const pendingEndsPauseMs = 40;
const failedLookPauseMs = 100;
const reportEveryMs = 450;
/** Looks in a row without answer before a runner counts as down. */
const looksBeforeDown = 2;

type Send = (message: MemberMessage) => void;

/**
 * The last gate before a runner: carries orders out, holds the runner's lease
 * while its keeper renews it, and never lets a run in that does not fit.
 */
export class Gate implements GateContext {
  info: RunnerInfo | undefined;
  epoch = 0;
  isUp = false;
  isDraining = false;
  isStopped = false;
  readonly lease: RunnerLease;
  readonly #book: RunBook;
  readonly #pace: PaceKeeper;
  /** The newest connection of a keeper, and the same once it may be sent to. */
  #attached: Send | undefined;
  #send: Send | undefined;
  #reportNumber = 0;
  #reportedAtMs = -Infinity;
  #reportedEnd = 0;
  #forgetUpTo = 0;
  #looksFailed = 0;
  #lookSentAtMs = -Infinity;
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
    this.#book = new RunBook(this);
    this.#pace = new PaceKeeper(this, this.#book);
  }

  /** Takes a heartbeat; those of earlier lives, or late ones, change nothing. */
  heartbeat(info: RunnerInfo): void {
    const { info: known } = this;
    if (known !== undefined && info.bornMs < known.bornMs) return;
    const isSame = known?.bornMs === info.bornMs;
    if (isSame && info.sequence < known.sequence) return;
    this.info = info;
    if (!isSame) this.#beginLife(info);
    if (!info.isDraining || this.isDraining) return;
    this.isDraining = true;
    this.log.info("runner_draining", { life: lifeOf(info) });
    this.#report();
  }

  /** The runner has said that it ends. */
  leave(instance: string): void {
    if (this.info?.instance !== instance) return;
    this.isDraining = true;
    this.isUp = false;
    this.log.info("runner_left", { instance });
    this.#report();
  }

  /** A keeper is there: serves it unless a newer one was heard. */
  attach(epoch: number, send: Send): boolean {
    if (epoch < this.epoch) return false;
    this.epoch = epoch;
    this.#attached = send;
    this.#send = undefined;
    void this.#look(0).then(() => {
      if (this.#attached !== send) return;
      this.#send = send;
      this.#report();
    });
    return true;
  }

  /** A connection is gone; a keeper may have made another before that. */
  detach(send: Send): void {
    if (send !== this.#attached) return;
    this.#attached = undefined;
    this.#send = undefined;
  }

  /** Carries out what the keeper wants. */
  take(message: KeeperMessage): void {
    switch (message.kind) {
      case "renew":
        this.lease.renewed(message.report);
        this.#pace.pressures = message.pressures;
        break;
      case "orders":
        for (const order of message.stops) this.#book.stop(order);
        for (const order of message.starts) this.#book.start(order);
        break;
      case "known":
        for (const order of message.runs) this.#book.learn(order);
        break;
      case "forget":
        if (this.info === undefined || message.life !== lifeOf(this.info)) {
          break;
        }
        this.#forget(message.end);
        break;
    }
  }

  /** Looks after the runner until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      if (this.info === undefined || this.epoch === 0) {
        await this.#pause(failedLookPauseMs);
        continue;
      }
      const isFine = await this.#look(lookWaitMs);
      if (isFine) this.#pace.observe(this.#running);
      const isDue = this.clock.nowMs() - this.#reportedAtMs >= reportEveryMs;
      if (isDue || this.#book.hasStopped) this.#report();
      if (!isFine) await this.#pause(failedLookPauseMs);
      else if (this.#ends.length > 0) await this.#pause(pendingEndsPauseMs);
    }
  }

  /** Ends the loop. */
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

  #forget(end: number): void {
    this.#forgetUpTo = Math.max(this.#forgetUpTo, end);
    this.#ends = this.#ends.filter(({ number }) => number > this.#forgetUpTo);
    this.#wake();
  }

  #beginLife(info: RunnerInfo): void {
    this.log.info("runner_life", {
      life: lifeOf(info),
      cpu_milli: info.capacity.cpuMilli,
    });
    this.#book.newLife();
    this.#pace.reset();
    this.lease.reset(this.clock.nowMs());
    this.#forgetUpTo = 0;
    this.#reportedEnd = 0;
    this.#running = [];
    this.#ends = [];
    this.isUp = false;
    this.isDraining = info.isDraining;
  }

  /** Lists the runner's runs, and renews its lease as far as that is granted. */
  async #look(waitMs: number): Promise<boolean> {
    const { info } = this;
    if (info === undefined) return false;
    const sentAtMs = this.clock.nowMs();
    const answer = await this.runner.hold({
      instance: info.instance,
      epoch: this.epoch,
      forgetUpTo: this.#forgetUpTo,
      untilClockMs: this.lease.grant(),
      waitMs,
    });
    if (this.info?.bornMs !== info.bornMs) return false;
    if (!answer.isOk || answer.value.bornMs !== info.bornMs) {
      this.#lookFailed(answer.isOk ? "other_life" : answer.failure);
      return false;
    }
    this.#looksFailed = 0;
    if (!this.isUp) this.log.info("runner_up", { life: lifeOf(info) });
    this.isUp = true;
    this.heard(answer);
    this.#takeLook(answer.value, sentAtMs);
    return true;
  }

  /** A look may go unanswered though its runner is well. */
  #lookFailed(failure: string): void {
    this.#looksFailed += 1;
    if (!this.isUp) return;
    if (failure === "unknown" && this.#looksFailed < looksBeforeDown) return;
    this.isUp = false;
    this.log.warn("runner_down", { failure });
    this.#report();
  }

  /** Answers may overtake each other: one to an older question says nothing. */
  #takeLook(look: RunnerLook, sentAtMs: number): void {
    if (sentAtMs < this.#lookSentAtMs) return;
    this.#lookSentAtMs = sentAtMs;
    this.#running = look.running;
    this.#ends = look.ends.filter(({ number }) => number > this.#forgetUpTo);
    this.#book.takeLook(look, sentAtMs);
    const newest = this.#ends.at(-1)?.number ?? 0;
    if (newest > this.#reportedEnd) this.#report();
  }

  #report(): void {
    const { info } = this;
    if (this.#send === undefined || info === undefined) return;
    const nowMs = this.clock.nowMs();
    this.#reportNumber += 1;
    this.#reportedAtMs = nowMs;
    this.#reportedEnd = this.#ends.at(-1)?.number ?? this.#reportedEnd;
    if (this.isUp) this.lease.reported(this.#reportNumber, nowMs);
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
        isDraining: this.isDraining,
        isUp: this.isUp,
        isLapsed: !this.isUp && this.lease.hasLapsed(nowMs),
        running: this.#running,
        ends: this.#ends,
        unexplained: this.#book.unexplained,
        unsettled: this.#book.unsettled,
      },
    });
  }

  async #pause(pauseMs: number): Promise<void> {
    const woken = new Promise<void>((resolve) => {
      this.#wake = resolve;
    });
    await Promise.race([this.clock.sleep(pauseMs), woken]);
  }
}
