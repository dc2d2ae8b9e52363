import * as v from "valibot";
import { CellId } from "./cell_id.ts";
import { CommonSettings } from "./common_settings.ts";
import { Endpoint } from "./endpoint.ts";
import { Labels } from "./labels.ts";
import { WorkerId } from "./worker_id.ts";

/** Settings of a sidecar. */
export const SidecarSettings = v.strictObject({
  ...CommonSettings,
  cell: CellId,
  runnerListen: Endpoint,
  worker: v.optional(v.strictObject({
    id: WorkerId,
    address: Endpoint,
    labels: Labels,
  })),
});
export type SidecarSettings = v.InferOutput<typeof SidecarSettings>;
