import type { TaskGroup } from "./task_group.ts";

/** The sort key of a waiting group: band, priority, rank; the lowest first. */
export interface Urgency {
  readonly group: TaskGroup;
  /** 0 service, 1 can meet its objective, 2 late, 3 too late to be of use. */
  readonly band: 0 | 1 | 2 | 3;
  readonly priority: number;
  /** The rank within band and priority; see urgency_of.ts. */
  readonly rankMs: number;
}
