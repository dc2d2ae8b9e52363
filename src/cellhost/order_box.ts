import type { StartOrder } from "../core/cell/start_order.ts";
import type { NodeId } from "../core/jobs/node_id.ts";

/** Orders gathered by worker, so that each gets one message. */
export class OrderBox {
  readonly starts = new Map<NodeId, StartOrder[]>();

  start(node: NodeId, order: StartOrder): void {
    const known = this.starts.get(node);
    if (known === undefined) this.starts.set(node, [order]);
    else known.push(order);
  }
}
