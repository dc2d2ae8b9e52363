/** The kinds of calls to a runner that change its runs. */
export type CallKind = "stop" | "start" | "pace";
