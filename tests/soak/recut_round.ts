import type { LinkCut } from "./runner_link.ts";
import type { SoakJob } from "./soak_job.ts";

/** A life of a runner that ends, and the next one under the same id. */
export interface Rebirth {
  /** From the time before, the start of the round or the rebirth before. */
  readonly afterMs: number;
  /** Whether the next life takes the calls that come in between. */
  readonly isInPlace: boolean;
  readonly awayMs: number;
  /** From the beginning of the next life to its first heartbeat. */
  readonly silentMs: number;
  /** A heartbeat of the life that ends arrives so much later. */
  readonly lateHeartbeatMs: number | undefined;
}

/** A runner that is back under its id, and is cut off soon after. */
export interface Recut {
  readonly runner: number;
  readonly rebirths: readonly Rebirth[];
  /** From the beginning of the last life. */
  readonly cutAfterMs: number;
  readonly cutMs: number;
  readonly cut: LinkCut;
  /** Whether the first heartbeat gets through in spite of the cut. */
  readonly isHeard: boolean;
  /** When its sidecar is killed, from the start of the round. */
  readonly sidecarKill: Kill | undefined;
}

export interface Kill {
  readonly atMs: number;
  readonly awayMs: number;
}

/** What happens in a round; all times are in ms from its start. */
export interface RecutRound {
  readonly recuts: readonly Recut[];
  /** The entry that is keeper then. */
  readonly keeperKill: Kill | undefined;
  readonly submissions: readonly {
    readonly atMs: number;
    readonly job: SoakJob;
  }[];
}
