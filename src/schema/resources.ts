import * as v from "valibot";

const Amount = v.pipe(v.number(), v.integer(), v.minValue(0));

/** The resources that a worker has or a task needs. */
export const Resources = v.strictObject({
  cpuMilli: Amount,
  memoryBytes: Amount,
  accelerators: Amount,
});
export type Resources = v.InferOutput<typeof Resources>;
