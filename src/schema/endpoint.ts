import * as v from "valibot";

/** Where a process listens: an IP number and a port. */
export const Endpoint = v.strictObject({
  host: v.pipe(v.string(), v.ip("expected an IP number")),
  port: v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(65_535)),
});
export type Endpoint = v.InferOutput<typeof Endpoint>;
