import * as v from "valibot";
import { isRecord } from "../../core/check/is_record.ts";
import type { JobProgressRow } from "../../core/cell/job_progress_row.ts";
import { Count } from "./count.ts";

const knownStates = ["q", "r", "completed", "failed", "cancelled"] as const;

const Whole = v.picklist([0, 1]);
const StartedTask = v.looseTuple([
  Count,
  Count,
  v.string(),
  v.optional(v.nullable(Count)),
  v.optional(v.string()),
  v.optional(Count),
]);
// Chosen by type: a union would try each part on each of many tasks.
const TaskRow = v.lazy((input) =>
  typeof input === "number" ? Whole : StartedTask
);
const GroupRow = v.lazy((input) =>
  typeof input === "number" ? Whole : v.array(TaskRow)
);

const KnownRow = v.looseObject({
  s: v.picklist(knownStates),
  n: Count,
  w: v.array(v.looseTuple([v.string(), v.string()])),
  o: v.array(v.looseTuple([Count, v.array(GroupRow)])),
});

/** A row of a state that only a later build knows; it is left alone. */
const LaterRow = v.looseObject({ s: v.string() });

/** A job's progress row; fields that a later build has added are kept. */
export const ProgressRow = v.pipe(
  v.lazy((input) =>
    isRecord(input) && knownStates.some((state) => state === input.s)
      ? KnownRow
      : LaterRow
  ),
  v.transform((row) => row as unknown as JobProgressRow),
);
