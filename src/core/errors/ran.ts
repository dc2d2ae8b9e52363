/** Whether a refused or failed request was run by a runner. */
export type Ran = "no" | "yes" | "unknown";
