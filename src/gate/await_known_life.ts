import type { GateContext } from "./gate_context.ts";

const retryPauseMs = 30;

/**
 * Waits until the runner's known life answers a poll. A next life under the same
 * id would carry out a repeated start, also if it ended the life before.
 */
export async function awaitKnownLife(
  context: GateContext,
  isNeeded: () => boolean,
): Promise<void> {
  do {
    await context.clock.sleep(retryPauseMs);
    if (await context.pollNow()) return;
  } while (isNeeded());
}
