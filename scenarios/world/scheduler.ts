interface Entry {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs callbacks in the order of their virtual times. */
export class Scheduler {
  nowMs = 0;
  readonly #heap: Entry[] = [];
  #order = 0;

  /** Runs the callback after the delay. */
  after(delayMs: number, run: () => void): void {
    this.#push({ atMs: this.nowMs + delayMs, order: this.#order++, run });
  }

  /** Runs the next callback if it is due by then. */
  step(untilMs: number): boolean {
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
      if (!this.#before(index, parent)) break;
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
      let least = index;
      if (left < heap.length && this.#before(left, least)) least = left;
      if (right < heap.length && this.#before(right, least)) least = right;
      if (least === index) return;
      this.#swap(index, least);
      index = least;
    }
  }

  #before(a: number, b: number): boolean {
    const x = this.#heap[a] as Entry;
    const y = this.#heap[b] as Entry;
    return x.atMs - y.atMs < 0 || (x.atMs === y.atMs && x.order < y.order);
  }

  #swap(a: number, b: number): void {
    const x = this.#heap[a] as Entry;
    this.#heap[a] = this.#heap[b] as Entry;
    this.#heap[b] = x;
  }
}
