/** The streams of the store, by what they hold. */
export const streams = {
  /** Jobs and cancellations, written by entries. */
  jobs: "jobs",
  /** Jobs' progress, written by the cell's keeper alone. */
  cell: "cell",
  /** Who keeps the cell. */
  epochs: "epochs",
  /** Our processes' addresses. */
  members: "members",
} as const;
