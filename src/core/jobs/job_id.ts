/** A job's id, chosen by its caller. */
export type JobId = string & { readonly __brand: "JobId" };
