import * as v from "valibot";
import type { JobDefinition } from "../../core/jobs/job_definition.ts";
import { Amount } from "./amount.ts";
import { Count } from "./count.ts";

/** Most tasks of a step, and of an occurrence; they are held in memory. */
const maxStepTasks = 10_000;
const maxTasks = 100_000;

const Flag = v.optional(v.boolean(), false);
const Text = v.optional(v.string());

const StepRow = v.object({
  count: v.pipe(Count, v.minValue(1), v.maxValue(maxStepTasks)),
  resources: v.object({
    cpuMilli: Amount,
    memoryBytes: v.pipe(v.number(), v.finite(), v.minValue(0)),
    accelerators: Amount,
  }),
  expectedMs: v.optional(Amount, 0),
  after: v.optional(v.array(Count), []),
  savesProgress: Flag,
  isGang: Flag,
  sameRack: Flag,
  label: Text,
  dataRack: Text,
  mostPerWorker: v.optional(Count, 0),
  isSpeculative: Flag,
  isService: Flag,
  image: Text,
  targetLatencyMs: v.optional(Amount, 0),
  isFiller: Flag,
  mostAway: v.optional(Count, 0),
});

/** The row of a submitted job. */
export const JobRow = v.pipe(
  v.object({
    id: v.pipe(v.string(), v.minLength(1)),
    queue: v.string(),
    payload: v.string(),
    steps: v.pipe(
      v.array(StepRow),
      v.minLength(1),
      v.check(
        (steps) =>
          steps.every(({ after }, index) =>
            after.every((earlier) => earlier < index)
          ),
        "a step may only depend on earlier ones",
      ),
      v.check(
        (steps) => steps.reduce((sum, { count }) => sum + count, 0) <= maxTasks,
        "too many tasks",
      ),
    ),
    schedule: v.optional(v.object({
      firstMs: v.pipe(v.number(), v.finite()),
      intervalMs: Amount,
      count: v.pipe(Count, v.minValue(1)),
    })),
    receivedMs: v.pipe(v.number(), v.finite()),
    origin: Text,
  }),
  v.transform((row) => row as unknown as JobDefinition),
);
