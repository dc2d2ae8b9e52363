import type { PeerId } from "../../schema/peer_id.ts";

/** The fields that all of a keeper's records share. */
export interface RecordHead {
  readonly atMs: number;
  readonly by: PeerId;
  readonly epoch: number;
}
