/** The name of a machine's process, which outlives its restarts. */
export type NodeId = string & { readonly __brand: "NodeId" };
