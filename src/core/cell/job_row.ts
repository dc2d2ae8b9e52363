/** What the store keeps of a job's progress; names are short since each end and start writes it. */
export interface JobRow {
  /** Its outcome, or whether it has begun. */
  readonly s: "q" | "r" | "completed" | "failed" | "cancelled";
  /** The first occurrence that has not been opened. */
  readonly n: number;
  /** The workers that its claims name: node and life of the runner. */
  readonly w: readonly (readonly [node: string, life: string])[];
  /** Its open occurrences: number and groups. */
  readonly o: readonly (readonly [number, readonly GroupRow[]])[];
}

/** 1 where all tasks are done, 0 where none was touched. */
type GroupRow = 0 | 1 | readonly TaskRow[];

/** 1 where it is done, 0 where it was never touched. */
type TaskRow =
  | 0
  | 1
  | readonly [
    run: number,
    failures: number,
    checkpoint: string,
    worker?: number,
    from?: string,
  ];
