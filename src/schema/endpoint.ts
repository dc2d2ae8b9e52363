import * as v from "valibot";

/** The IP address and port where a process listens. */
export const Endpoint = v.strictObject({
  host: v.pipe(v.string(), v.ip("expected an IP number")),
  port: v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(65_535)),
});
export type Endpoint = v.InferOutput<typeof Endpoint>;
