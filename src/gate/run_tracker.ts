import type { StartCommand } from "../core/cell/start_command.ts";
import type { StartRefusal } from "../core/cell/start_refusal.ts";
import type { Resources } from "../schema/resources.ts";
import type { StopCommand } from "../link/stop_command.ts";
import { carryRun } from "./carry_run.ts";
import { CrashEvidence } from "./crash_evidence.ts";
import { describeRuns } from "./describe_runs.ts";
import type { GateContext } from "./gate_context.ts";
import { lifeOf } from "./life_of.ts";
import { logIgnored } from "./log_ignored.ts";
import { newRun } from "./new_run.ts";
import { newStartingRun } from "./new_starting_run.ts";
import type { Run } from "./run.ts";
import type { StartOwner } from "./start_owner.ts";
import { startRun } from "./start_run.ts";
import { startsWithoutRoom } from "./starts_without_room.ts";
import { sendStop } from "./send_stop.ts";
import { RefusedStarts } from "./refused_starts.ts";
import type { RunStatus } from "../core/jobs/run_status.ts";
import type { RunnerLife } from "../core/jobs/runner_life.ts";
import { runKey } from "../core/jobs/run_key.ts";
import { refusalReason } from "./refusal_reason.ts";
import type { RunnerPollResult } from "./runner_poll_result.ts";
import { UnconfirmedStarts } from "./unconfirmed_starts.ts";
import { UnansweredStarts } from "./unanswered_starts.ts";

/** A run that was active for this long did not crash its runner by starting. */
const startupMs = 300;

/**
 * Tracks the runs of a runner, from the start command until the runner lists
 * their end. A start or stop without answer may still be executed, so it is
 * retried until an answer comes. A run occupies its resources until it has
 * certainly ended. A run that the runner lists but that was not started here,
 * such as one started before this process, is a found run.
 */
export class RunTracker implements StartOwner {
  readonly runs = new Map<string, Run>();
  readonly refused = new RefusedStarts();
  readonly unanswered = new UnansweredStarts();
  readonly unconfirmed: UnconfirmedStarts;
  readonly #evidence = new CrashEvidence();
  /** The runs of the life before, with the life that their starts named. */
  #sentBefore: ReadonlyMap<string, RunnerLife> = new Map();

  constructor(readonly context: GateContext) {
    this.unconfirmed = new UnconfirmedStarts(() => context.clock.nowMs());
  }

  /** Whether a poll has yet to confirm that a stopped run is gone. */
  get hasUnconfirmedStop(): boolean {
    return [...this.runs.values()].some((run) =>
      run.stopAcknowledgedAtMs !== undefined
    );
  }

  /** The part of a report that is about runs. */
  report(isRunnerGone: boolean) {
    const description = describeRuns([...this.runs.values()]);
    const { startingUp } = description;
    return {
      ...description,
      ...this.#evidence.describe(isRunnerGone ? startingUp : undefined),
      refusals: this.refused.unacknowledged,
    };
  }

  /**
   * Handles a new life of the runner, in which no earlier run exists. A start
   * without answer may still reach the new life, even if a repeated one was
   * answered, so its run is stopped there.
   */
  beginLife(isAfterCrash: boolean): void {
    const { startingUp } = describeRuns([...this.runs.values()]);
    this.#evidence.beginLife(
      this.context.isDraining,
      isAfterCrash ? startingUp : undefined,
    );
    this.#sentBefore = new Map(
      [...this.runs].flatMap(([key, { startCommand }]) =>
        startCommand === undefined ? [] : [[key, startCommand.life]]
      ),
    );
    const mayStart = this.unanswered.runs(this.context.clock.nowMs());
    for (const [key, run] of this.runs) {
      if (run.phase === "starting") mayStart.set(key, run);
    }
    this.runs.clear();
    for (const [key, run] of mayStart) {
      const carried = carryRun(run);
      this.runs.set(key, carried);
      // It is refused again once it certainly does not run in the new life.
      this.refused.remove(carried);
      void this.stopRun(carried);
    }
  }

  /**
   * Reconciles the runs with what the runner lists. A stopped run that is not
   * listed is gone only if the poll was sent after the stop was acknowledged,
   * and lists all ends.
   */
  applyPoll(poll: RunnerPollResult, sentAtMs: number): void {
    this.#evidence.recordPoll();
    const listed = new Set(poll.running.map(runKey));
    const ended = new Set(poll.ends.map(runKey));
    for (const [key, run] of this.runs) {
      if (ended.has(key)) this.runs.delete(key);
      else if (listed.has(key)) continue;
      else if (
        poll.hasAllEnds && run.stopAcknowledgedAtMs !== undefined &&
        run.stopAcknowledgedAtMs <= sentAtMs
      ) {
        this.runs.delete(key);
        this.#refuse(run, run.refusal ?? "old");
      }
    }
    for (const status of poll.running) {
      const key = runKey(status);
      const known = this.runs.get(key);
      if (known === undefined) this.runs.set(key, this.#foundRun(status));
      else if (known.phase === "starting") this.started(known);
      else if (sentAtMs - (known.activeSinceMs ?? Infinity) >= startupMs) {
        known.hasStartedUp = true;
      }
    }
  }

  /** Adds the start command, which the keeper sent, to a found run. */
  addCommand(command: StartCommand): void {
    const run = this.runs.get(runKey(command));
    if (run !== undefined) run.startCommand ??= command;
  }

  /**
   * Gives up the runs that are being started, since their lease has ended;
   * returns whether no call to start one is in progress any more.
   */
  abandonStarts(): boolean {
    let isDone = true;
    for (const run of this.runs.values()) {
      if (run.phase !== "starting") continue;
      if (!run.isStopRequested) this.giveUpStart(run, undefined);
      isDone = false;
    }
    return isDone;
  }

  /** Stops the runs that are being started; they are refused once gone. */
  giveUpStarts(reason: StartRefusal): void {
    for (const run of this.runs.values()) {
      if (run.phase !== "starting" || run.isStopRequested) continue;
      this.giveUpStart(run, reason);
    }
  }

  /**
   * Gives up the starts that do not fit into a changed capacity: one without
   * answer may still be executed, or would be repeated.
   */
  fitStarts(capacity: Resources): void {
    for (const run of startsWithoutRoom(capacity, [...this.runs.values()])) {
      this.giveUpStart(run, "no_room");
    }
  }

  /** Starts a run; refuses it if the runner cannot take it now. */
  start(command: StartCommand): void {
    const { context } = this;
    if (this.runs.has(runKey(command))) {
      this.addCommand(command);
      return;
    }
    const earlier = this.refused.find(command);
    if (earlier !== undefined) {
      context.send({ kind: "refused", ...earlier });
      return;
    }
    if (context.lastHeartbeat === undefined) {
      // The keeper repeats the start after this sidecar's first report.
      logIgnored(context, "start_ignored", command);
      return;
    }
    const run = newStartingRun(command);
    run.refusal = refusalReason(context, [...this.runs.values()], command);
    if (run.refusal === undefined) {
      this.runs.set(runKey(run), run);
      void startRun(run, command, this);
    } else if (context.lease.mayBeUnknown(context.clock.nowMs())) {
      // An earlier process may have sent the start too, so the runner decides.
      this.runs.set(runKey(run), run);
      void this.stopRun(run);
    } else {
      this.#refuse(run, run.refusal);
      void sendStop(context, run, () => !context.isStopped);
    }
  }

  /** Stops a run, even one that is not tracked. */
  stop(command: StopCommand): void {
    const { lastHeartbeat: heartbeat } = this.context;
    if (heartbeat === undefined || command.life !== lifeOf(heartbeat)) {
      logIgnored(this.context, "stop_ignored", command);
      return;
    }
    const key = runKey(command);
    const run = this.runs.get(key) ?? newRun(command);
    this.runs.set(key, run);
    if (run.phase === "starting") run.isStopRequested = true;
    else if (run.phase === "running") void this.stopRun(run);
  }

  /** Gives up a start for a reason, or else since its lease has ended. */
  giveUpStart(run: Run, refusal: StartRefusal | undefined): void {
    run.isStopRequested = true;
    run.refusal ??= refusal;
    const fields = { task: run.task, run: run.run };
    const reason = refusal ?? "lease_ended";
    this.context.log.info("start_given_up", { ...fields, reason });
  }

  #foundRun(status: RunStatus): Run {
    const run = newRun(status);
    this.#begin(run);
    const { task, run: number } = run;
    const life = lifeOf(this.context.lastHeartbeat!);
    const sentTo = this.#sentBefore.get(runKey(run));
    const fields = { task, run: number, life, sent_to: sentTo };
    this.context.log.info("run_found", fields);
    return run;
  }

  #begin(run: Run): void {
    run.hasBegun = true;
    run.activeSinceMs = this.context.clock.nowMs();
  }

  /** Records that the runner has begun a run. */
  started(run: Run): void {
    this.#begin(run);
    run.isStartUncertain = false;
    run.phase = "running";
    const { task } = run;
    this.context.send({ kind: "started", task, run: run.run });
    if (run.isStopRequested) void this.stopRun(run);
  }

  /** Stops a run; the next poll then shows whether it is gone. */
  async stopRun(run: Run): Promise<void> {
    const { context } = this;
    const mayBeListed = run.phase === "running" && run.hasBegun;
    run.phase = "stopping";
    if (!await sendStop(context, run, () => this.#isCurrent(run))) return;
    run.stopAcknowledgedAtMs = context.clock.nowMs();
    // The end of a listed run completes the poll that is waiting.
    if (!mayBeListed) void context.pollNow();
  }

  /** Refuses a run that the runner has rejected, and would reject again. */
  refuseRejected(run: Run, reason: StartRefusal): void {
    const { context } = this;
    this.runs.delete(runKey(run));
    this.#refuse(run, reason);
    void sendStop(context, run, () => !context.isStopped);
  }

  /** Refuses a run for good; see `RefusedStarts`. */
  #refuse({ task, run, startCommand }: Run, reason: StartRefusal): void {
    const life = startCommand?.life ?? lifeOf(this.context.lastHeartbeat!);
    const refusal = { task, run, life, reason };
    this.context.log.info("start_refused", { task, run, reason });
    this.refused.add(refusal);
    this.context.send({ kind: "refused", ...refusal });
  }

  isStarting(run: Run): boolean {
    return this.#isCurrent(run) && run.phase === "starting";
  }

  #isCurrent(run: Run): boolean {
    return !this.context.isStopped && this.runs.get(runKey(run)) === run;
  }
}
