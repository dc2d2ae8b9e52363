import type { Resources } from "../schema/resources.ts";

/** What a runner says of itself in a heartbeat. */
export interface RunnerInfo {
  readonly instance: string;
  readonly bornMs: number;
  readonly pool: string;
  readonly zone: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly isDraining: boolean;
  readonly sequence: number;
}
