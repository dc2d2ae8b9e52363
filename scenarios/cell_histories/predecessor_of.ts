import type { Predecessor } from "../../src/cellhost/predecessor.ts";
import type { HistoryWorld } from "./history_world.ts";
import type { ProcessClock } from "./process_clock.ts";

/** The shares of seeds, and of terms, in which more is known. */
const seedsOf = 5;
const firstKnownSeed = 3;
const termsOf = 3;

/**
 * What a new keeper knows of the one before: nothing with most seeds, and with
 * the others mostly that it is dead if it is.
 */
export function predecessorOf(
  { keepers, seed }: Pick<HistoryWorld, "keepers" | "seed">,
  epoch: number,
  clock: ProcessClock,
): Predecessor | undefined {
  const before = keepers.at(-1);
  if (before !== undefined && seed % seedsOf < firstKnownSeed) return undefined;
  const isDead = before?.options.clock.isDead ?? true;
  const isKnown = isDead && epoch % termsOf !== 0;
  return {
    epoch: epoch - 1,
    node: undefined,
    incarnation: undefined,
    endedAtMs: isKnown ? clock.nowMs() : undefined,
  };
}
