import { err, ok } from "true-myth/result";
import type { AppendResult } from "../../src/core/store/append_result.ts";
import type { NewestPage } from "../../src/core/store/newest_page.ts";
import type { Row } from "../../src/core/store/row.ts";
import type { RowPage } from "../../src/core/store/row_page.ts";
import { defaultStoreLimits } from "../../src/core/store/default_store_limits.ts";
import { isStorable } from "../../src/core/store/is_storable.ts";
import { rowBytes } from "../../src/core/store/row_bytes.ts";
import type { StoreLimits } from "../../src/core/store/store_limits.ts";
import type { Store } from "../../src/core/store/store.ts";
import type { StoreFailure } from "../../src/core/store/store_failure.ts";
import type { StoreResult } from "../../src/core/store/store_result.ts";
import type { StoredRow } from "../../src/core/store/stored_row.ts";
import type { WriteGuard } from "../../src/core/store/write_guard.ts";

/**
 * A fault of an append: it is applied and its answer is lost, it is refused, it
 * is applied only when `applyDelayed` is called, or it is dropped unanswered.
 */
type Fault = "lost" | "refused" | "late" | "hung";

/** The epoch of a writer, and its newest answers by sequence number. */
interface Writer {
  epoch: number;
  sequence: number;
  readonly answers: Map<number, AppendResult>;
}

interface Stream {
  readonly rows: StoredRow[];
  /** The offset of the first row that is kept. */
  first: number;
  readonly writers: Map<string, Writer>;
}

/** How many answers of a writer are kept for repeated appends. */
const rememberedAppends = 5;

/** An in-memory store with the platform's semantics and injected faults. */
export class StoreModel implements Store {
  /** The faults of the next appends, first to last; later ones succeed. */
  readonly faults: Fault[] = [];
  /** Whether every call is refused. */
  isDown = false;
  /** The streams that cannot be reached, and how calls to them fail. */
  readonly lostStreams = new Map<string, "refused" | "hung">();
  /** Larger records are rejected, and larger appends. */
  limits: StoreLimits = defaultStoreLimits;
  /** The keys whose rows are rejected for good. */
  readonly rejectedKeys = new Set<string>();
  appendCount = 0;
  #delayed: (() => void)[] = [];
  readonly #streams = new Map<string, Stream>();

  append(
    stream: string,
    rows: readonly Row[],
    guard: WriteGuard,
  ): Promise<StoreResult<AppendResult>> {
    this.appendCount += 1;
    const fault = this.isDown
      ? "refused"
      : this.lostStreams.get(stream) ?? this.faults.shift();
    const unknown = { kind: "unknown", detail: fault ?? "" } as const;
    switch (fault) {
      case undefined:
        return Promise.resolve(this.#append(stream, rows, guard));
      case "refused":
        return fail({ kind: "refused", detail: "down" });
      case "lost":
        this.#append(stream, rows, guard);
        return fail(unknown);
      case "late":
        this.#delayed.push(() => this.#append(stream, rows, guard));
        return fail(unknown);
      case "hung":
        return fail(unknown);
    }
  }

  read(stream: string, from: number): Promise<StoreResult<RowPage>> {
    if (this.isDown || this.lostStreams.has(stream)) {
      return fail({ kind: "refused", detail: "down" });
    }
    const { rows, first } = this.#stream(stream);
    if (from < first) return fail({ kind: "trimmed", first });
    const end = first + rows.length;
    const page = rows.slice(from - first);
    return Promise.resolve(ok({ rows: page, unreadable: 0, next: end, end }));
  }

  readNewest(stream: string): Promise<StoreResult<NewestPage>> {
    if (this.isDown || this.lostStreams.has(stream)) {
      return fail({ kind: "refused", detail: "down" });
    }
    const { rows, first } = this.#stream(stream);
    const newest = new Map(rows.map((row) => [row.key, row]));
    const kept = [...newest.values()].filter(({ value }) =>
      value !== undefined
    );
    const end = first + rows.length;
    return Promise.resolve(
      ok({ rows: kept, unreadable: 0, end, more: undefined }),
    );
  }

  /** Applies the appends that were delayed. */
  applyDelayed(): void {
    for (const apply of this.#delayed.splice(0)) apply();
  }

  /** The newest value of a key. */
  newestValue(stream: string, key: string): string | undefined {
    return this.#stream(stream).rows.findLast((row) => row.key === key)?.value;
  }

  #append(
    stream: string,
    rows: readonly Row[],
    guard: WriteGuard,
  ): StoreResult<AppendResult> {
    const target = this.#stream(stream);
    const offset = target.first + target.rows.length;
    if (!this.#accepts(rows)) return err({ kind: "rejected", detail: "size" });
    if (guard.kind === "at" && guard.end !== offset) {
      return err({ kind: "conflict", end: offset });
    }
    const appended = { offset, end: offset + rows.length };
    if (guard.kind === "writer") {
      const answer = this.#checkWriter(target, guard, appended);
      if (answer !== undefined) return answer;
    }
    rows.forEach(({ key, value }, index) => {
      target.rows.push({ key, value, offset: offset + index });
    });
    return ok(appended);
  }

  #accepts(rows: readonly Row[]): boolean {
    let bytes = 0;
    for (const row of rows) {
      const isRejected = this.rejectedKeys.has(row.key);
      if (isRejected || !isStorable(row, this.limits)) return false;
      bytes += rowBytes(row);
    }
    return bytes <= this.limits.callBytes;
  }

  /**
   * Checks a writer's epoch and sequence. Returns an error, or the earlier
   * answer to a repeated append, or nothing if the append is new.
   */
  #checkWriter(
    stream: Stream,
    guard: Extract<WriteGuard, { kind: "writer" }>,
    appended: AppendResult,
  ): StoreResult<AppendResult> | undefined {
    const { writer: name, epoch, sequence } = guard;
    const writer = stream.writers.get(name);
    if (writer !== undefined && epoch < writer.epoch) {
      return err({ kind: "fenced" });
    }
    if (writer !== undefined && epoch === writer.epoch) {
      const answer = writer.answers.get(sequence);
      if (answer !== undefined) return ok(answer);
      const expected = writer.sequence + 1;
      if (sequence !== expected) return err({ kind: "sequence", expected });
    }
    const answers = writer?.epoch === epoch ? writer.answers : new Map();
    answers.set(sequence, appended);
    answers.delete(sequence - rememberedAppends);
    stream.writers.set(name, { epoch, sequence, answers });
    return undefined;
  }

  #stream(name: string): Stream {
    const known = this.#streams.get(name);
    if (known !== undefined) return known;
    const stream = { rows: [], first: 0, writers: new Map() };
    this.#streams.set(name, stream);
    return stream;
  }
}

function fail<T>(failure: StoreFailure): Promise<StoreResult<T>> {
  return Promise.resolve(err(failure));
}
