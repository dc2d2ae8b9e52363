/** One life of a runner: its id and the moment of its start. */
export type RunnerLife = string & { readonly __brand: "RunnerLife" };
