import * as v from "valibot";
import type { RunnerLife } from "../../core/jobs/runner_life.ts";

const Life = v.pipe(
  v.string(),
  v.minLength(1),
  v.transform((text) => text as RunnerLife),
);

/**
 * The row of a life of a sidecar's runner that has ended for good. Nothing runs
 * in it any more, which a keeper could not learn from a sidecar that has exited
 * too.
 */
export const EndedLifeRow = v.object({
  life: Life,
  /** The lives before it, as far as the sidecar has seen them. */
  before: v.fallback(v.optional(v.array(Life), []), []),
  /**
   * Whether no start can be under way that it does not know of; builds that do
   * not know this drop it.
   */
  isSettled: v.fallback(v.optional(v.boolean(), false), false),
});
