import type { RunnerLife } from "../core/jobs/runner_life.ts";
import type { KeeperMessage } from "../link/keeper_message.ts";
import type { PaceController } from "./pace_controller.ts";
import type { RunTracker } from "./run_tracker.ts";
import type { RunnerLease } from "./runner_lease.ts";
import type { StartWindow } from "./start_window.ts";

/** What a keeper's messages act on. */
interface Parts {
  readonly lease: RunnerLease;
  readonly startWindow: StartWindow;
  readonly tracker: RunTracker;
  readonly paceController: PaceController;
  /** Ends of the life up to this number are stored. */
  readonly setStored: (life: RunnerLife, end: number) => void;
}

/** Applies a message from the keeper; a kind that is not known is ignored. */
export function applyKeeperMessage(
  message: KeeperMessage,
  { lease, startWindow, tracker, paceController, setStored }: Parts,
): void {
  switch (message.kind) {
    case "renew":
      lease.renew(message.report);
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
