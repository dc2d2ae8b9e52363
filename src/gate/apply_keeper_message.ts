import type { RunnerLife } from "../core/jobs/runner_life.ts";
import type { KeeperMessage } from "../link/keeper_message.ts";
import type { GateContext } from "./gate_context.ts";
import type { PaceController } from "./pace_controller.ts";
import type { RunTracker } from "./run_tracker.ts";

/** What a keeper's messages act on, beside what the gate shares. */
interface Parts {
  readonly tracker: RunTracker;
  readonly paceController: PaceController;
  /** Ends of the life up to this number are stored. */
  readonly setStored: (life: RunnerLife, end: number) => void;
}

/** Applies a message from the keeper; a kind that is not known is ignored. */
export function applyKeeperMessage(
  message: KeeperMessage,
  { lease, permit, startWindow }: GateContext,
  { tracker, paceController, setStored }: Parts,
): void {
  switch (message.kind) {
    case "renew":
      lease.renew(message.report);
      permit.renew(message.report);
      startWindow.renew(message.report, message.operatorAgeMs);
      paceController.pressures = message.pressures;
      break;
    case "evacuated":
      startWindow.setEvacuated(message.isEvacuated);
      if (message.isEvacuated) tracker.giveUpStarts("evacuated");
      break;
    case "orders":
      for (const command of message.stops) tracker.stop(command);
      for (const command of message.starts) tracker.start(command);
      break;
    case "known":
      for (const command of message.runs) tracker.addCommand(command);
      break;
    case "forget":
      setStored(message.life, message.end);
      break;
    case "noted":
      for (const run of message.refusals) tracker.refused.remove(run);
      break;
  }
}
