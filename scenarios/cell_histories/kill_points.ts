/** Points between an order to stop a service's run and its next start. */
export const killPoints = [
  "before the stop leaves",
  "after the stop has left",
  "after the end is listed",
  "after the end is reported",
  "after the end is stored",
  "after the next claim is stored",
  "after the next start has left",
] as const;
