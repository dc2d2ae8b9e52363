import type { Resources } from "../../schema/resources.ts";
import type { Refusal } from "./refusal.ts";
import type { RunEnd } from "../jobs/run_end.ts";
import type { RunStatus } from "../jobs/run_status.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";

/** A sidecar's report on its runner, sent to the keeper. */
export interface SidecarReport {
  readonly life: RunnerLife;
  readonly pool: string;
  readonly zone: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /**
   * How long the runner stays cold after its data centre was evacuated; only
   * where data centres can be evacuated.
   */
  readonly coldForMs?: number | undefined;
  /** The runner exits soon and accepts no new runs. */
  readonly isDraining: boolean;
  /** Whether the runner answers. */
  readonly isUp: boolean;
  /**
   * Whether connections to the runner are refused, as after a crash; sidecars
   * of an earlier version do not tell.
   */
  readonly isGone?: boolean | undefined;
  /**
   * Whether certainly no call of an earlier process of the sidecar is under way;
   * sidecars of an earlier version do not tell.
   */
  readonly isPredecessorSettled?: boolean | undefined;
  /** The lease of this life has certainly expired, so nothing of it runs. */
  readonly isLapsed: boolean;
  readonly running: readonly RunStatus[];
  readonly ends: readonly RunEnd[];
  /**
   * Whether the runner has ended further runs than it lists here; sidecars of an
   * earlier version do not tell.
   */
  readonly hasMoreEnds?: boolean | undefined;
  /** How many runs the sidecar found without knowing their start commands. */
  readonly unexplained: number;
  /** Keys of the runs whose start or stop has no known result yet. */
  readonly unsettled: readonly string[];
  /**
   * Keys of the runs that may still crash the runner by starting. No poll that
   * was sent long enough after their start has found them active; sidecars of an
   * earlier version do not list them.
   */
  readonly startingUp?: readonly string[];
  /**
   * Keys of the runs that were starting up when the life before ended, or this
   * one if the runner is gone; undefined unless that was a crash. A start that
   * never reached the runner is not among them.
   */
  readonly crashedStarts?: readonly string[] | undefined;
  /**
   * Whether the life before had ended before the sidecar, since restarted, could
   * list its runs; sidecars of an earlier version do not tell.
   */
  readonly isLifeBeforeUnknown?: boolean | undefined;
  /**
   * The refused starts that the keeper has not acknowledged; sidecars of an
   * earlier version do not list them.
   */
  readonly refusals?: readonly Refusal[];
}
