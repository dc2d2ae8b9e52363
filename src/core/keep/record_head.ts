import type { PeerId } from "../../schema/peer_id.ts";

/** What every record of a keeper carries. */
export interface RecordHead {
  readonly atMs: number;
  readonly by: PeerId;
  readonly epoch: number;
}
