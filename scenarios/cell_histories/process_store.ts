import { err } from "true-myth/result";
import type { AppendResult } from "../../src/core/store/append_result.ts";
import type { NewestPage } from "../../src/core/store/newest_page.ts";
import type { Row } from "../../src/core/store/row.ts";
import type { RowPage } from "../../src/core/store/row_page.ts";
import type { Store } from "../../src/core/store/store.ts";
import type { StoreFailure } from "../../src/core/store/store_failure.ts";
import type { StoreResult } from "../../src/core/store/store_result.ts";
import type { WriteGuard } from "../../src/core/store/write_guard.ts";
import type { SeededRandom } from "../../stand_ins/seeded_random.ts";
import type { StoreModel } from "../../stand_ins/store/store_model.ts";
import type { ProcessClock } from "./process_clock.ts";

const minLatencyMs = 3;
const maxLatencyMs = 30;
const maxLatenessMs = 6_000;
const readTimeoutMs = 800;
/** How often a waiting read looks for rows. */
const waitIntervalMs = 10;
/** The share of appends that go wrong while answers are lost. */
const faultShare = 0.3;

/** One process's view of the store: calls take time, and may go wrong. */
export class ProcessStore implements Store {
  isCut = false;
  /** The streams of which no read is answered. */
  readonly unreadable = new Set<string>();
  /** Whether appends only get no answer and have no effect. */
  isReadOnly = false;
  /** Called when an append has taken effect, before its answer arrives. */
  onAppended: (stream: string, rows: readonly Row[]) => void = () => {};

  constructor(
    readonly model: StoreModel,
    readonly clock: ProcessClock,
    readonly random: SeededRandom,
    /** Whether the store loses answers now. */
    readonly isLosing: () => boolean,
  ) {}

  async append(
    stream: string,
    rows: readonly Row[],
    guard: WriteGuard,
    timeoutMs: number,
  ): Promise<StoreResult<AppendResult>> {
    const append = async () => {
      const result = await this.model.append(stream, rows, guard);
      if (result.isOk) this.onAppended(stream, rows);
      return result;
    };
    if (this.isCut || this.isReadOnly) return await this.#timeOut(timeoutMs);
    await this.clock.world.sleep(this.#latencyMs());
    const isFaulty = this.isLosing() && this.random.next() < faultShare;
    if (!isFaulty) {
      const result = await append();
      await this.clock.sleep(this.#latencyMs());
      return result;
    }
    // Carried out, and the answer is lost; or carried out late.
    const latenessMs = this.random.next() < 0.5
      ? 0
      : this.random.next() * maxLatenessMs;
    void this.clock.world.sleep(latenessMs).then(append);
    return await this.#timeOut(timeoutMs);
  }

  read(
    stream: string,
    from: number,
    waitMs = 0,
  ): Promise<StoreResult<RowPage>> {
    if (this.unreadable.has(stream)) return this.#timeOut(readTimeoutMs);
    const untilMs = this.clock.world.nowMs() + waitMs;
    return this.#read(async () => {
      while (true) {
        const page = await this.model.read(stream, from);
        const isDone = page.isErr || page.value.rows.length > 0;
        if (isDone || this.clock.world.nowMs() >= untilMs) return page;
        await this.clock.world.sleep(waitIntervalMs);
      }
    });
  }

  readNewest(stream: string): Promise<StoreResult<NewestPage>> {
    return this.#read(() => this.model.readNewest(stream));
  }

  async #read<T>(
    read: () => Promise<StoreResult<T>>,
  ): Promise<StoreResult<T>> {
    if (this.isCut) return await this.#timeOut(readTimeoutMs);
    await this.clock.world.sleep(this.#latencyMs());
    const result = await read();
    await this.clock.sleep(this.#latencyMs());
    return result;
  }

  async #timeOut<T>(timeoutMs: number): Promise<StoreResult<T>> {
    await this.clock.sleep(timeoutMs);
    const failure: StoreFailure = { kind: "unknown", detail: "no answer" };
    return err(failure);
  }

  #latencyMs(): number {
    return minLatencyMs + this.random.next() * (maxLatencyMs - minLatencyMs);
  }
}
