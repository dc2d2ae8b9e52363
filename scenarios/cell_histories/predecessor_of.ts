import type { Predecessor } from "../../src/cellhost/predecessor.ts";
import type { HistoryKeeper } from "./history_keeper.ts";
import type { ProcessClock } from "./process_clock.ts";

/** What a new keeper knows of the one before: mostly when that one is dead. */
export function predecessorOf(
  epoch: number,
  clock: ProcessClock,
  before: HistoryKeeper | undefined,
): Predecessor {
  const isDead = before?.options.clock.isDead ?? true;
  const isKnown = isDead && epoch % 3 !== 0;
  return {
    epoch: epoch - 1,
    node: undefined,
    incarnation: undefined,
    endedAtMs: isKnown ? clock.nowMs() : undefined,
  };
}
