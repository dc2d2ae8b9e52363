import type { StartCommand } from "../core/cell/start_command.ts";
import type { StartRefusal } from "../core/cell/start_refusal.ts";
import type { TaskName } from "../core/jobs/task_name.ts";
import type { StopCommand } from "../link/stop_command.ts";
import type { GateContext } from "./gate_context.ts";
import { hasRoom } from "./has_room.ts";
import { lifeOf } from "./life_of.ts";
import type { Run } from "./run.ts";
import { runKey } from "../core/jobs/run_key.ts";
import type { RunnerFailure } from "./runner_failure.ts";
import type { RunnerPollResult } from "./runner_poll_result.ts";

const retryPauseMs = 30;
/** The first pace of a found run; differs from all others, so one is set. */
const unknownPace = -1;

/**
 * Tracks the runs of a runner, from the start command until the runner lists
 * their end. A start or stop without answer may still be executed, so it is
 * retried until an answer comes. A run occupies its resources until it has
 * certainly ended. A run that the runner lists but that was not started here,
 * such as one started before this process, is a found run.
 */
export class RunTracker {
  readonly runs = new Map<string, Run>();

  constructor(readonly context: GateContext) {}

  /** The number of found runs whose start command is not known. */
  get unexplained(): number {
    return [...this.runs.values()].filter(({ startCommand }) =>
      startCommand === undefined
    )
      .length;
  }

  /** Whether a poll has yet to confirm that a stopped run is gone. */
  get hasUnconfirmedStop(): boolean {
    return [...this.runs.values()].some((run) =>
      run.stopAcknowledgedAtMs !== undefined
    );
  }

  /** The keys of the runs whose start or stop is not completed. */
  get unsettled(): string[] {
    return [...this.runs.values()]
      .filter(({ phase }) => phase !== "running")
      .map(runKey);
  }

  /**
   * Handles a new life of the runner, in which no earlier run exists. A start
   * without answer may still reach the new life, so its run is stopped there.
   */
  beginLife(): void {
    const starting = [...this.runs.values()]
      .filter(({ phase }) => phase === "starting");
    this.runs.clear();
    for (const run of starting) {
      const carried = { ...run };
      this.runs.set(runKey(carried), carried);
      void this.#stop(carried);
    }
  }

  /**
   * Reconciles the runs with what the runner lists. A stopped run that is not
   * listed is gone only if the poll was sent after the stop was acknowledged.
   */
  applyPoll(poll: RunnerPollResult, sentAtMs: number): void {
    const listed = new Set(poll.running.map(runKey));
    const ended = new Set(poll.ends.map(runKey));
    for (const [key, run] of this.runs) {
      if (ended.has(key)) this.runs.delete(key);
      else if (listed.has(key)) continue;
      else if (
        run.stopAcknowledgedAtMs !== undefined &&
        run.stopAcknowledgedAtMs < sentAtMs
      ) {
        this.runs.delete(key);
        this.#refuse(run, "old");
      }
    }
    for (const status of poll.running) {
      const key = runKey(status);
      const known = this.runs.get(key);
      if (known === undefined) this.runs.set(key, newRun(status));
      else if (known.phase === "starting") this.#started(known);
    }
  }

  /** Adds the start command, which the keeper sent, to a found run. */
  addCommand(command: StartCommand): void {
    const run = this.runs.get(runKey(command));
    if (run !== undefined) run.startCommand ??= command;
  }

  /** Starts a run; refuses it if the runner cannot take it now. */
  start(command: StartCommand): void {
    if (this.runs.has(runKey(command))) {
      this.addCommand(command);
      return;
    }
    const run: Run = {
      ...newRun(command),
      startCommand: command,
      phase: "starting",
      pace: 100,
    };
    const refusal = this.#refusalReason(command);
    if (refusal !== undefined) {
      this.#refuse(run, refusal);
      return;
    }
    this.runs.set(runKey(run), run);
    void this.#start(run, command);
  }

  /** Stops a run, even one that is not tracked. */
  stop(command: StopCommand): void {
    const { lastHeartbeat: heartbeat } = this.context;
    if (heartbeat === undefined || command.life !== lifeOf(heartbeat)) return;
    const key = runKey(command);
    const run = this.runs.get(key) ?? newRun(command);
    this.runs.set(key, run);
    if (run.phase === "starting") run.isStopRequested = true;
    else if (run.phase === "running") void this.#stop(run);
  }

  #refusalReason(start: StartCommand): StartRefusal | undefined {
    const { lastHeartbeat: last, isDraining, isUp, lease } = this.context;
    if (last === undefined || start.life !== lifeOf(last)) return "other_life";
    if (isDraining) return "draining";
    if (!isUp || lease.endClockMs === undefined) return "unhealthy";
    const others = [...this.runs.values()];
    return hasRoom(last.capacity, others, start) ? undefined : "no_room";
  }

  /** Retries the start until its outcome is known, or else stops the run. */
  async #start(run: Run, command: StartCommand): Promise<void> {
    const { context } = this;
    const instance = context.lastHeartbeat!.instance;
    while (this.#isStarting(run)) {
      const answer = await context.runner.start({
        instance,
        epoch: context.epoch,
        task: run.task,
        run: run.run,
        payload: command.payload,
        ticket: command.ticket,
        checkpoint: command.checkpoint,
        leaseEndClockMs: context.lease.grant() ?? 0,
      });
      // Meanwhile a poll may have listed the run as running or ended.
      if (!this.#isStarting(run)) return;
      context.recordClock(answer);
      if (answer.isOk) {
        this.#started(run);
        return;
      }
      if (answer.failure === "unknown") {
        run.isStartUncertain = true;
        if (run.isStopRequested) break;
        const { task } = run;
        context.log.warn("start_unanswered", { task, run: run.run });
        await context.clock.sleep(retryPauseMs);
        continue;
      }
      if (run.isStartUncertain) break;
      if (answer.failure === "old") {
        // The run may have been executed and ended: the next poll shows it.
        run.phase = "stopping";
        run.stopAcknowledgedAtMs = context.clock.nowMs();
        context.pollSoon();
        return;
      }
      this.runs.delete(runKey(run));
      this.#refuse(run, refusalFor(answer.failure));
      return;
    }
    if (this.#isStarting(run)) await this.#stop(run);
  }

  #started(run: Run): void {
    run.isStartUncertain = false;
    run.phase = "running";
    const { task } = run;
    this.context.send({ kind: "started", task, run: run.run });
    if (run.isStopRequested) void this.#stop(run);
  }

  /** Retries the stop until the runner acknowledges it. */
  async #stop(run: Run): Promise<void> {
    run.phase = "stopping";
    const { context } = this;
    const instance = context.lastHeartbeat!.instance;
    while (this.#isCurrent(run)) {
      const { epoch } = context;
      const { task } = run;
      const answer = await context.runner.stop({
        instance,
        epoch,
        task,
        run: run.run,
      });
      context.recordClock(answer);
      if (answer.isOk) {
        run.stopAcknowledgedAtMs = context.clock.nowMs();
        context.pollSoon();
        return;
      }
      await context.clock.sleep(retryPauseMs);
    }
  }

  #refuse(run: Run, reason: StartRefusal): void {
    const { task } = run;
    this.context.log.info("start_refused", { task, run: run.run, reason });
    this.context.send({ kind: "refused", task, run: run.run, reason });
  }

  #isStarting(run: Run): boolean {
    return this.#isCurrent(run) && run.phase === "starting";
  }

  #isCurrent(run: Run): boolean {
    return !this.context.isStopped && this.runs.get(runKey(run)) === run;
  }
}

/** A run of which only the key is known. */
function newRun(
  { task, run }: { readonly task: TaskName; readonly run: number },
): Run {
  return {
    task,
    run,
    startCommand: undefined,
    phase: "running",
    isStartUncertain: false,
    isStopRequested: false,
    stopAcknowledgedAtMs: undefined,
    pace: unknownPace,
    isSettingPace: false,
  };
}

function refusalFor(failure: RunnerFailure): StartRefusal {
  switch (failure) {
    case "old":
    case "late":
    case "no_room":
    case "ticket":
    case "other_life":
    case "rejected":
      return failure;
    default:
      return "unhealthy";
  }
}
