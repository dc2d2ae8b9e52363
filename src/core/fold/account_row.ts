import type { MemberId } from "../../schema/member_id.ts";

/** One member's accumulated usage of one pool in one term. */
export interface AccountRow {
  readonly member: MemberId;
  readonly pool: string;
  readonly term: string;
  cpuMilliSeconds: number;
  memoryByteSeconds: number;
  acceleratorSeconds: number;
  finishedTasks: number;
  evictions: number;
}
