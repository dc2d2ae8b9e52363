import * as v from "valibot";
import { Endpoint } from "../schema/endpoint.ts";
import { Name } from "../schema/name.ts";
import { PositiveInteger } from "../schema/positive_integer.ts";

/** What a runner sends when it announces itself to its sidecar. */
export const RunnerInfo = v.strictObject({
  service: Name,
  address: Endpoint,
  slots: v.pipe(PositiveInteger, v.maxValue(1_024)),
  connections: v.pipe(PositiveInteger, v.maxValue(4_096)),
});
export type RunnerInfo = v.InferOutput<typeof RunnerInfo>;
