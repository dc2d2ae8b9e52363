import type { StartCommand } from "../core/cell/start_command.ts";
import { newRun } from "./new_run.ts";
import type { Run } from "./run.ts";

/** A run that is being started by a command. */
export function newStartingRun(startCommand: StartCommand): Run {
  const run = newRun(startCommand);
  return { ...run, startCommand, phase: "starting", pace: 100 };
}
