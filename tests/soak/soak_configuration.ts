import { callersHost } from "./callers_host.ts";

/** One queue, on the runners of one pool. */
export const soakConfiguration = {
  version: 1,
  routes: [{
    name: "q",
    host: callersHost,
    pathPrefix: "/q/",
    service: "pool",
    priority: 0,
    maxAttempts: 100,
    stretch: 2,
    targetCompletionMs: 1_000,
  }],
};
