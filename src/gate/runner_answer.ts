import type { RunnerFailure } from "./runner_failure.ts";

/** What a call to the runner came to, and the clock that its answer told. */
export type RunnerAnswer<T> =
  | { readonly isOk: true; readonly value: T; readonly clockMs: number }
  | {
    readonly isOk: false;
    readonly failure: RunnerFailure;
    readonly clockMs: number | undefined;
  };
