import { setTimeout as delay } from "node:timers/promises";

const pollMs = 100;
const timeoutMs = 40_000;

/** Polls until the condition is true; throwing counts as not yet true. */
export async function waitFor(
  description: string,
  condition: () => Promise<boolean>,
): Promise<void> {
  const deadlineMs = performance.now() + timeoutMs;
  while (performance.now() < deadlineMs) {
    if (await condition().catch(() => false)) return;
    await delay(pollMs);
  }
  throw new Error(`timed out waiting for ${description}`);
}
