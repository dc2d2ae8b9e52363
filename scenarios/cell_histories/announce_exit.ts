import type { Clock } from "../../src/core/clock/clock.ts";
import type { RunnerModel } from "../../stand_ins/runner/runner_model.ts";
import type { HistorySidecar } from "./history_sidecar.ts";

/** For how long, and how often, a runner announces its exit without an answer. */
const announceMs = 3_000;
const announceIntervalMs = 100;

/**
 * Announces that a runner exits, until a process of its sidecar confirms it or
 * it takes too long; then one that is paused gets the announcement later.
 */
export async function announceExit(
  { instance, bornMs }: RunnerModel,
  sidecar: () => HistorySidecar | undefined,
  world: Clock,
  isOver: () => boolean,
): Promise<void> {
  const untilMs = world.nowMs() + announceMs;
  while (!isOver() && world.nowMs() < untilMs) {
    const known = sidecar();
    const isHeard = known?.clock.pausedMs === 0 &&
      known.gate.handleLeave(instance, bornMs);
    if (isHeard) return;
    await world.sleep(announceIntervalMs);
  }
  const last = sidecar();
  void last?.clock.awake().then(() => last.gate.handleLeave(instance, bornMs));
}
