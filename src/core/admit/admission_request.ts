import type { MemberId } from "../../schema/member_id.ts";

/** A request for a slot of the runner. */
export interface AdmissionRequest {
  readonly id: string;
  readonly member: MemberId;
  readonly deadlineAtMs: number;
}
