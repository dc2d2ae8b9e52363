import * as v from "valibot";
import type { NodeId } from "../../core/jobs/node_id.ts";
import { Amount } from "./amount.ts";
import { Count } from "./count.ts";

const Node = v.pipe(
  v.string(),
  v.minLength(1),
  v.transform((text) => text as NodeId),
);

/** The row of what a keeper knows of leases, for its successor. */
export const LeaseRow = v.object({
  /** The keeper that wrote the row. */
  epoch: Count,
  /** For how much longer keepers before it may renew leases. */
  earlierMs: Amount,
  /** The workers whose lease nobody renews, and when it ends at the latest. */
  lost: v.array(v.tuple([Node, Amount])),
});

export type LeaseRow = v.InferOutput<typeof LeaseRow>;
