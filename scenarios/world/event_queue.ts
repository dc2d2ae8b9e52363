/** A callback and its time; `sequence` keeps the order of equal times. */
interface Entry {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** Runs callbacks in the order of their virtual times; a binary heap. */
export class EventQueue {
  nowMs = 0;
  readonly #heap: Entry[] = [];
  #nextSequence = 0;

  /** Schedules the callback after the delay. */
  after(delayMs: number, run: () => void): void {
    this.#push({
      atMs: this.nowMs + delayMs,
      sequence: this.#nextSequence++,
      run,
    });
  }

  /**
   * Runs the next callback if it is due by the given time. Otherwise advances
   * the time to it and returns false.
   */
  runNext(untilMs: number): boolean {
    const next = this.#heap[0];
    if (next === undefined || next.atMs > untilMs) {
      this.nowMs = Math.max(this.nowMs, untilMs);
      return false;
    }
    this.#pop();
    this.nowMs = next.atMs;
    next.run();
    return true;
  }

  #push(entry: Entry): void {
    const heap = this.#heap;
    let index = heap.push(entry) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isEarlier(index, parent)) break;
      this.#swap(index, parent);
      index = parent;
    }
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    heap[0] = last;
    let index = 0;
    while (true) {
      const left = 2 * index + 1;
      const right = left + 1;
      let min = index;
      if (left < heap.length && this.#isEarlier(left, min)) min = left;
      if (right < heap.length && this.#isEarlier(right, min)) min = right;
      if (min === index) return;
      this.#swap(index, min);
      index = min;
    }
  }

  #isEarlier(a: number, b: number): boolean {
    const x = this.#heap[a] as Entry;
    const y = this.#heap[b] as Entry;
    return x.atMs - y.atMs < 0 ||
      (x.atMs === y.atMs && x.sequence < y.sequence);
  }

  #swap(a: number, b: number): void {
    const x = this.#heap[a] as Entry;
    this.#heap[a] = this.#heap[b] as Entry;
    this.#heap[b] = x;
  }
}
