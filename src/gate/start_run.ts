import type { StartCommand } from "../core/cell/start_command.ts";
import { awaitKnownLife } from "./await_known_life.ts";
import type { GateContext } from "./gate_context.ts";
import { mayBeEarlierRun } from "./may_be_earlier_run.ts";
import { refusalFor } from "./refusal_for.ts";
import type { Run } from "./run.ts";
import { sendStart } from "./send_start.ts";
import type { StartOwner } from "./start_owner.ts";

/** Whether the runner has begun to drain before the run was first sent to it. */
function isDrainedFor(run: Run, { isDraining }: GateContext): boolean {
  return isDraining && !run.isStartUncertain;
}

/** Retries a start until its outcome is known, or else stops the run. */
export async function startRun(
  run: Run,
  command: StartCommand,
  owner: StartOwner,
): Promise<void> {
  const { context } = owner;
  const { clock, permit, startWindow } = context;
  const arrivedAtMs = clock.nowMs();
  const mayRepeat = () =>
    owner.isStarting(run) && !run.isStopRequested &&
    startWindow.isOpen(arrivedAtMs, clock.nowMs());
  while (owner.isStarting(run) && !run.isStopRequested) {
    if (!startWindow.isOpen(arrivedAtMs, clock.nowMs())) {
      owner.giveUpStart(run, "late");
      break;
    }
    const isNeeded = () => mayRepeat() && !isDrainedFor(run, context);
    await permit.wait(isNeeded);
    // The wait for a slot may outlast the permit and the reason for the start.
    const maySend = () => permit.isValid && isNeeded();
    const sent = await sendStart(command, owner, arrivedAtMs, maySend);
    if (sent === undefined) {
      if (isDrainedFor(run, context)) owner.giveUpStart(run, "draining");
      continue;
    }
    const { answer, sentAtMs } = sent;
    // Meanwhile a poll may have listed the run as running or ended.
    if (!owner.isStarting(run)) return;
    context.recordClock(answer, sentAtMs);
    if (answer.isOk) {
      owner.started(run);
      return;
    }
    const { failure } = answer;
    if (failure === "unknown") {
      run.isStartUncertain = true;
      run.hasBegun ||= answer.isBroken ?? false;
      owner.unanswered.record(run, clock.nowMs());
      const { task } = run;
      context.log.warn("start_unanswered", { task, run: run.run });
      await awaitKnownLife(context, mayRepeat);
      continue;
    }
    if (run.isStartUncertain) break;
    if (mayBeEarlierRun(context, failure)) {
      run.refusal = refusalFor(failure);
      break;
    }
    if (failure === "old") {
      // The run may have been executed and ended: a poll shows it.
      run.phase = "stopping";
      run.stopAcknowledgedAtMs = clock.nowMs();
      void context.pollNow();
      return;
    }
    owner.refuseRejected(run, refusalFor(failure));
    return;
  }
  if (owner.isStarting(run)) await owner.stopRun(run);
}
