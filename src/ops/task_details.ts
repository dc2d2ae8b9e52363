/** A task as the store shows it to operators. */
export interface TaskDetails {
  readonly task: string;
  readonly jobState: string;
  /**
   * `not_open` before the job's first row or the occurrence's time, or after all
   * of it is done; `unreadable` if the job's row is.
   */
  readonly state:
    | "unreadable"
    | "not_open"
    | "waits_for_steps"
    | "done"
    | "claimed"
    | "unclaimed";
  /** The number of the last run; 0 before the first. */
  readonly run?: number;
  readonly failures?: number;
  /** How many runs in a row may have crashed their worker. */
  readonly crashes?: number;
  readonly checkpoint?: string;
  readonly claim?: ClaimView | undefined;
  /** The unfinished steps that come first. */
  readonly waitsForSteps?: readonly number[];
  /** Finds why it does not run, in the logs of the keeper and the sidecars. */
  readonly grep: string;
}

interface ClaimView {
  readonly worker: string;
  readonly life: string;
  /** Whether a process of the worker is in the table of members. */
  readonly isMember: boolean;
  /** Whether its sidecar has stored that this life has ended for good. */
  readonly hasLifeEnded: boolean;
  /** Another life that has ended, if so. */
  readonly endedLife: string | undefined;
  readonly address: string | undefined;
}
