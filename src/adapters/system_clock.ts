import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from "node:timers/promises";
import type { Clock } from "../core/clock/clock.ts";

/** The clock of this machine. */
export const systemClock: Clock = {
  nowMs: () => performance.now(),
  wallMs: () => Date.now(),
  sleep: (ms) => sleep(ms),
  nextTurn: () => nextTurn(),
};
