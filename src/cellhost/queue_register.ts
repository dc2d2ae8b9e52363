import type { Logger } from "../adapters/logger.ts";
import type { Cell } from "../core/cell/cell.ts";
import type { Queue } from "../core/jobs/queue.ts";
import type { Row } from "../core/store/row.ts";
import { queuesKey } from "./queues_key.ts";

/**
 * How many removed queues without live jobs are kept in the row, the one
 * removed last first: a job of theirs may still be on its way to the keeper.
 */
const maxIdleQueues = 64;

/**
 * The queues of a keeper's cell. The configuration may remove a queue whose jobs
 * go on, so what is known of it is stored for the next keeper.
 */
export class QueueRegister {
  #configured: ReadonlySet<string> = new Set();
  readonly #unknown = new Set<string>();
  #isChanged = false;
  /** The value of the row that was taken last. */
  #taken = "";

  constructor(readonly cell: Cell, readonly log: Logger) {
    cell.isConfigured = false;
  }

  /** Adds the queues that an earlier keeper knew; nothing is placed by them. */
  restore(queues: readonly Queue[]): void {
    for (const queue of queues) this.cell.queues.set(queue.name, queue);
  }

  /** Applies the current configuration's queues. Removed ones are kept. */
  configure(queues: Iterable<Queue>): void {
    const { cell } = this;
    cell.isConfigured = true;
    const names = new Set<string>();
    for (const queue of queues) {
      names.add(queue.name);
      // The queues changed last are the last ones of the map.
      cell.queues.delete(queue.name);
      cell.queues.set(queue.name, queue);
    }
    this.#configured = names;
    this.#isChanged = true;
    this.#logUnknown();
  }

  /** The row to store, if it has changed. */
  takeRows(): Row[] {
    if (!this.#isChanged) return [];
    this.#isChanged = false;
    const live = new Set(
      [...this.cell.liveJobs].map(({ definition }) => definition.queue),
    );
    const needed = (name: string) =>
      this.#configured.has(name) || live.has(name);
    const names = [...this.cell.queues.keys()];
    const idle = new Set(
      names.filter((name) => !needed(name)).slice(-maxIdleQueues),
    );
    const queues = [...this.cell.queues.values()]
      .filter(({ name }) => needed(name) || idle.has(name));
    const value = JSON.stringify({ queues });
    if (value === this.#taken) return [];
    this.#taken = value;
    return [{ key: queuesKey, value }];
  }

  /** Logs the queues of jobs that wait since nothing is known of their queue. */
  #logUnknown(): void {
    for (const { definition: { queue, id } } of this.cell.liveJobs) {
      if (this.cell.queues.has(queue) || this.#unknown.has(queue)) continue;
      this.#unknown.add(queue);
      this.log.warn("queue_unknown", { queue, job: id });
    }
  }
}
