import type { Worker } from "./worker.ts";

/** Changes kept at most; readers further behind look at all workers. */
const maxChanges = 4_096;

/** The workers that may have gained capacity, in the order of the changes. */
export class ChangeLog {
  #start = 0;
  #changes: Worker[] = [];

  /** The position after the newest change. */
  get end(): number {
    return this.#start + this.#changes.length;
  }

  add(worker: Worker): void {
    if (this.#changes.length >= maxChanges) this.clear();
    this.#changes.push(worker);
  }

  /** Drops all changes, so that every reader looks at all workers again. */
  clear(): void {
    this.#start = this.end + 1;
    this.#changes = [];
  }

  /** Returns the changes since a position, or undefined if any was dropped. */
  since(position: number): readonly Worker[] | undefined {
    if (position < this.#start) return undefined;
    return position === this.end
      ? []
      : this.#changes.slice(position - this.#start);
  }
}
