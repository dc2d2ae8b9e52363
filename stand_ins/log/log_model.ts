import type { LogPage } from "../../src/core/log/log_page.ts";

interface Stream {
  oldest: number;
  readonly records: { readonly atMs: number; readonly body: unknown }[];
}

/** An append-only log with offsets, limited retention and outages. */
export class LogModel {
  isDown = false;
  /** How many of the next appends take effect but get no answer. */
  answersToLose = 0;
  retentionMs = Infinity;
  retentionRecords = Infinity;
  appends = 0;
  appendedBytes = 0;
  readonly #streams = new Map<string, Stream>();

  /** Appends a batch and gives the first offset. */
  append(stream: string, bodies: readonly unknown[], nowMs: number): number {
    const { oldest, records } = this.#of(stream);
    const first = oldest + records.length;
    for (const body of bodies) records.push({ atMs: nowMs, body });
    this.appends += 1;
    this.#cut(stream, nowMs);
    return first;
  }

  /** Reads from the offset on, or from the oldest kept one. */
  read(
    stream: string,
    from: number,
    max: number,
    nowMs: number,
  ): LogPage {
    this.#cut(stream, nowMs);
    const { oldest, records } = this.#of(stream);
    const start = Math.max(from, oldest);
    const page = records.slice(start - oldest, start - oldest + max);
    return {
      from: start,
      records: page.map(({ body }) => body),
      end: oldest + records.length,
      oldest,
    };
  }

  /** Whether the next answer is to be lost; counts it down. */
  losesAnswer(): boolean {
    if (this.answersToLose === 0) return false;
    this.answersToLose -= 1;
    return true;
  }

  #of(name: string): Stream {
    const known = this.#streams.get(name);
    if (known !== undefined) return known;
    const stream = { oldest: 0, records: [] };
    this.#streams.set(name, stream);
    return stream;
  }

  #cut(name: string, nowMs: number): void {
    const stream = this.#of(name);
    const { records } = stream;
    let cut = Math.max(0, records.length - this.retentionRecords);
    while (cut < records.length) {
      const record = records[cut];
      if (record === undefined) break;
      if (nowMs - record.atMs <= this.retentionMs) break;
      cut += 1;
    }
    records.splice(0, cut);
    stream.oldest += cut;
  }
}
