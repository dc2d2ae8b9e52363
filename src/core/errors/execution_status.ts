/** Whether a runner ran a request that was rejected or failed. */
export type ExecutionStatus = "no" | "yes" | "unknown";
