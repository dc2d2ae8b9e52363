import type { Group } from "./group.ts";

/** One time that a job's steps run. */
export interface Occurrence {
  readonly number: number;
  readonly groups: readonly Group[];
}
