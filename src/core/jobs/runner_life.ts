/** One incarnation of a runner: its id and start time. */
export type RunnerLife = string & { readonly __brand: "RunnerLife" };
