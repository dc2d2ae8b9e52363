import type { LogPage } from "../../src/core/log/log_page.ts";

interface Stream {
  /** Offset of the first record that is still kept. */
  oldest: number;
  readonly records: { readonly atMs: number; readonly body: unknown }[];
}

/** Model of the platform's log: append-only streams with limited retention. */
export class LogModel {
  /** Whether the log refuses all calls; its callers have to check this. */
  isDown = false;
  /** How many of the next appends take effect without an answer. */
  answersToLose = 0;
  /** Records of a stream beyond this age or number are dropped. */
  retentionMs = Infinity;
  retentionRecords = Infinity;
  /** How many batches were appended. */
  appendCount = 0;
  /** Size of all appended batches as JSON; counted by the server. */
  appendedBytes = 0;
  readonly #streams = new Map<string, Stream>();

  /** Appends a batch and returns the offset of its first record. */
  append(stream: string, bodies: readonly unknown[], nowMs: number): number {
    const { oldest, records } = this.#streamOf(stream);
    const first = oldest + records.length;
    for (const body of bodies) records.push({ atMs: nowMs, body });
    this.appendCount += 1;
    this.#trim(stream, nowMs);
    return first;
  }

  /** Reads from the offset on, or from the oldest record if that is later. */
  read(
    stream: string,
    from: number,
    max: number,
    nowMs: number,
  ): LogPage {
    this.#trim(stream, nowMs);
    const { oldest, records } = this.#streamOf(stream);
    const start = Math.max(from, oldest);
    const page = records.slice(start - oldest, start - oldest + max);
    return {
      from: start,
      records: page.map(({ body }) => body),
      end: oldest + records.length,
      oldest,
    };
  }

  /** Counts off one answer to lose; returns false when none is left. */
  consumeAnswerLoss(): boolean {
    if (this.answersToLose === 0) return false;
    this.answersToLose -= 1;
    return true;
  }

  #streamOf(name: string): Stream {
    const known = this.#streams.get(name);
    if (known !== undefined) return known;
    const stream = { oldest: 0, records: [] };
    this.#streams.set(name, stream);
    return stream;
  }

  #trim(name: string, nowMs: number): void {
    const stream = this.#streamOf(name);
    const { records } = stream;
    let dropped = Math.max(0, records.length - this.retentionRecords);
    while (dropped < records.length) {
      const record = records[dropped];
      if (record === undefined) break;
      if (nowMs - record.atMs <= this.retentionMs) break;
      dropped += 1;
    }
    records.splice(0, dropped);
    stream.oldest += dropped;
  }
}
