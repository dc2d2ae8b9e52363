import type { RunnerFailure } from "./runner_failure.ts";

/** The outcome of a call to the runner, with the runner's clock if known. */
export type RunnerResult<T> =
  | { readonly isOk: true; readonly value: T; readonly clockMs: number }
  | {
    readonly isOk: false;
    readonly failure: RunnerFailure;
    /** Whether the connection ended during the call, as in a crash. */
    readonly isBroken?: boolean;
    readonly clockMs: number | undefined;
  };
