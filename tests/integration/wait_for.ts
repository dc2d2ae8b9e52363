import { setTimeout as delay } from "node:timers/promises";

const pollMs = 100;
const patienceMs = 40_000;

/** Waits until the condition holds; fails when it does not in a long time. */
export async function waitFor(
  what: string,
  holds: () => Promise<boolean>,
): Promise<void> {
  const untilMs = performance.now() + patienceMs;
  while (performance.now() < untilMs) {
    if (await holds().catch(() => false)) return;
    await delay(pollMs);
  }
  throw new Error(`waited too long for ${what}`);
}
