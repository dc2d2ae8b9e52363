import type { Result } from "true-myth/result";
import type { StoreFailure } from "./store_failure.ts";

/** The outcome of a call to the store. */
export type StoreResult<T> = Result<T, StoreFailure>;
