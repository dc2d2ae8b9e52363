import type { StartCommand } from "../core/cell/start_command.ts";
import type { NodeId } from "../core/jobs/node_id.ts";

/** Start commands grouped by worker, so that each worker gets one message. */
export class StartBatch {
  readonly starts = new Map<NodeId, StartCommand[]>();

  add(node: NodeId, command: StartCommand): void {
    const known = this.starts.get(node);
    if (known === undefined) this.starts.set(node, [command]);
    else known.push(command);
  }
}
