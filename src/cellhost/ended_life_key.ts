import type { NodeId } from "../core/jobs/node_id.ts";

/**
 * The key of the life of a sidecar's runner that has ended, in the stream of
 * members. It is not the key of the sidecar's address, which its next process
 * stores anew.
 */
export function endedLifeKey(node: NodeId): string {
  return `${node}!`;
}
