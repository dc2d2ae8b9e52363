import type { PeerId } from "../../schema/peer_id.ts";

/** The keeper in office and who may follow it. */
export interface EpochRow {
  readonly number: number;
  readonly keeper: PeerId;
  readonly incarnation: string;
  readonly candidates: readonly PeerId[];
}
