import type { Group } from "./group.ts";

/** Where a group stands in line; lower goes first, field by field. */
export interface Urgency {
  readonly group: Group;
  /** 0 services, 1 what can be in time, 2 what is late, 3 what is of no use. */
  readonly band: 0 | 1 | 2 | 3;
  readonly priority: number;
  /** Its place within band and priority; see urgency_of.ts. */
  readonly rankMs: number;
}
