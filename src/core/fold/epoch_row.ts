import type { PeerId } from "../../schema/peer_id.ts";

/** The current epoch: its keeper, and who may be the next one. */
export interface EpochRow {
  readonly number: number;
  readonly keeper: PeerId;
  /** The start of the keeper's process that holds the epoch. */
  readonly incarnation: string;
  readonly candidates: readonly PeerId[];
}
