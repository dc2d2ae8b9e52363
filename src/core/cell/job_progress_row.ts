/**
 * A job's progress as stored. Its names are short since every start and end of
 * a run writes it. A later build may add fields: they are kept when the row is
 * written again. A row that cannot be understood without them has a state `s`
 * that is not listed here, and is left alone.
 */
export interface JobProgressRow {
  /** The outcome; without one `q` for queued or `r` for running. */
  readonly s: "q" | "r" | "completed" | "failed" | "cancelled";
  /** The number of the first occurrence that has not been opened. */
  readonly n: number;
  /** The workers that its claims refer to, by index. */
  readonly w: readonly (readonly [node: string, life: string])[];
  /** The open occurrences: number and groups. */
  readonly o: readonly (readonly [number, readonly GroupRow[]])[];
}

/** 1 if all tasks are done, 0 if none has ever been started. */
type GroupRow = 0 | 1 | readonly TaskRow[];

/**
 * 1 if the task is done, 0 if it has never been started. `worker` is an index
 * into `w`, given while the run is claimed; `from` is the checkpoint that the
 * run started from. `crashes` counts the runs in a row that crashed their worker
 * or were starting up beside one that did. `listed` is 1 once the claimed life
 * has listed the run of a service, and `crashShownBy` is what showed the last
 * crash; builds that do not know them drop them.
 */
type TaskRow =
  | 0
  | 1
  | readonly [
    run: number,
    failures: number,
    checkpoint: string,
    worker?: number | null,
    from?: string,
    crashes?: number,
    listed?: number,
    crashShownBy?: string,
  ];
