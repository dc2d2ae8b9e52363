import * as v from "valibot";

const Amount = v.pipe(v.number(), v.integer(), v.minValue(0));

/** An amount of what a worker has and a task needs. */
export const Resources = v.strictObject({
  cpuMilli: Amount,
  memoryBytes: Amount,
  accelerators: Amount,
});
export type Resources = v.InferOutput<typeof Resources>;
