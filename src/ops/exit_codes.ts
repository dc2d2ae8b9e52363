/** The exit codes of the operator's commands. */
export const exitCodes = {
  done: 0,
  unknownJob: 1,
  usage: 2,
  storeUnreachable: 3,
  /** The store does not allow this operator to write the row. */
  writeRefused: 4,
} as const;
