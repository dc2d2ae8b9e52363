/** The names of the store's streams. */
export const streams = {
  /** Jobs and cancellations, written by entries. */
  jobs: "jobs",
  /** Progress of jobs, written by the cell's keeper only. */
  cell: "cell",
  /** Results of the elections of the cell's keeper. */
  epochs: "epochs",
  /** The operator's configuration and requests. */
  operator: "op",
  /** Addresses of the system's own processes, its peers. */
  members: "members",
} as const;
