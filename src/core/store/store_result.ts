import type { Result } from "true-myth/result";
import type { StoreFailure } from "./store_failure.ts";

/** What a call to the store came to. */
export type StoreResult<T> = Result<T, StoreFailure>;
