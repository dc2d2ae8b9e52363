import type { StoredRow } from "../store/stored_row.ts";
import type { EvacuationChange } from "./evacuation_change.ts";
import { evacuationKey } from "./evacuation_key.ts";
import { isZone } from "./is_zone.ts";

const prefix = evacuationKey("");

/**
 * The evacuations that the operator requests: rows `evacuate/ZONE` that have a
 * value. Rows with an unreadable key or value change nothing.
 */
export class EvacuationRows {
  /** The offset of the newest row of each evacuated data centre. */
  readonly #offsets = new Map<string, number>();

  get zones(): ReadonlySet<string> {
    return new Set(this.#offsets.keys());
  }

  /** Applies rows in the order of the stream; yields what they change. */
  *apply(rows: readonly StoredRow[]): Generator<EvacuationChange, void> {
    for (const { key, value, offset } of rows) {
      if (!key.startsWith(prefix)) continue;
      const zone = key.slice(prefix.length);
      if (!isZone(zone)) yield { kind: "ignored", key, reason: "key" };
      else if (value === undefined) {
        if (this.#offsets.delete(zone)) yield { kind: "ended", zone };
      } else if (!isRequest(value)) {
        yield { kind: "ignored", key, reason: "value" };
      } else {
        const isNew = !this.#offsets.has(zone);
        this.#offsets.set(zone, offset);
        if (isNew) yield { kind: "requested", zone };
      }
    }
  }

  /**
   * Applies a read of the newest rows, which lists no deleted ones: drops the
   * requests that it lacks, unless they were written after it began.
   */
  *retain(
    keys: ReadonlySet<string>,
    end: number,
  ): Generator<EvacuationChange, void> {
    for (const [zone, offset] of this.#offsets) {
      if (offset >= end || keys.has(evacuationKey(zone))) continue;
      this.#offsets.delete(zone);
      yield { kind: "ended", zone };
    }
  }
}

/** Whether a value is JSON that does not say "no". */
function isRequest(value: string): boolean {
  try {
    const parsed: unknown = JSON.parse(value);
    return parsed !== null && parsed !== false;
  } catch {
    return false;
  }
}
