/** What a keeper has observed of the evacuations, for operators. */
export interface EvacuationRow {
  readonly zones: readonly {
    readonly zone: string;
    /** Since when it is evacuated, by the wall clock of the keeper. */
    readonly sinceMs: number;
    /** Whether no run of ours is left there. */
    readonly isCleared: boolean;
  }[];
}
