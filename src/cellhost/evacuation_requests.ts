import type { Logger } from "../adapters/logger.ts";
import type { EvacuationChange } from "../core/evacuate/evacuation_change.ts";
import { EvacuationRows } from "../core/evacuate/evacuation_rows.ts";
import type { OperatorRead } from "../core/evacuate/operator_read.ts";
import type { StoredRow } from "../core/store/stored_row.ts";
import type { StreamTail } from "./stream_tail.ts";

/**
 * A read's age counts from its sending, so the age of a healthy tail reaches
 * twice the time that a read waits; see `EvacuationGuard` for its limit.
 */
const waitShare = 0.2;
const maxWaitMs = 1_000;

/**
 * The evacuations that the operator requests, as an entry's tail of the
 * operator's stream delivers them.
 */
export class EvacuationRequests {
  readonly #rows = new EvacuationRows();
  readonly #sinceMs = new Map<string, number>();
  #tail: Pick<StreamTail, "completeRead"> | undefined;
  onChange: () => void = () => {};

  constructor(readonly evacuateMs: number, readonly log: Logger) {}

  /** Each data centre to evacuate, with when this entry read of it first. */
  get zones(): ReadonlyMap<string, number> {
    return new Map(this.#sinceMs);
  }

  /** When the newest complete read of the stream was sent. */
  get read(): OperatorRead | undefined {
    return this.#tail?.completeRead;
  }

  /** How long a read of the stream may wait for a new row. */
  get waitMs(): number {
    return Math.min(maxWaitMs, this.evacuateMs * waitShare);
  }

  /** Follows the tail that delivers the rows. */
  follow(tail: StreamTail): void {
    this.#tail = tail;
    tail.onSnapshot = (keys, end) => this.#handle(this.#rows.retain(keys, end));
  }

  apply(rows: readonly StoredRow[]): void {
    this.#handle(this.#rows.apply(rows));
  }

  #handle(changes: Iterable<EvacuationChange>): void {
    let isChanged = false;
    for (const change of changes) {
      if (change.kind === "ignored") {
        const { key, reason } = change;
        this.log.warn("evacuation_ignored", { key, reason });
        continue;
      }
      isChanged = true;
      if (change.kind === "ended") this.#sinceMs.delete(change.zone);
      else this.#sinceMs.set(change.zone, Date.now());
      this.log.info(`evacuation_${change.kind}`, { zone: change.zone });
    }
    if (isChanged) this.onChange();
  }
}
