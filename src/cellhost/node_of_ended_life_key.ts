import type { NodeId } from "../core/jobs/node_id.ts";

/** The node whose key of an ended life this is; undefined if it is another. */
export function nodeOfEndedLifeKey(key: string): NodeId | undefined {
  return key.endsWith("!") ? key.slice(0, -1) as NodeId : undefined;
}
