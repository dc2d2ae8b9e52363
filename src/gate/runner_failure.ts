import type { StartRefusal } from "../core/cell/start_refusal.ts";

/** A call to the runner that gave no result; a drain is the gate's own word. */
export type RunnerFailure =
  | Exclude<StartRefusal, "draining">
  /** Not done: the runner has seen a higher epoch. */
  | "fenced"
  /** The connection was refused: nobody listens. */
  | "refused"
  /** No answer: done, not done, or done later. */
  | "unknown";
