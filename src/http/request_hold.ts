import type { LimitReason } from "./limit_reason.ts";
import type { RequestBudget } from "./request_budget.ts";

/** The greatest header that is accepted, which a request keeps. */
const headerBytes = 16_384;

/** What one request holds of its process's budget. */
export class RequestHold {
  #bytes = 0;
  #bodyBytes = 0;
  #onEvicted: (() => void) | undefined;

  constructor(
    readonly budget: RequestBudget,
    /** Receives why the body is not read to its end. */
    readonly onLimit: (reason: LimitReason) => void,
  ) {}

  /** Takes the room for a request without body; false if there is none. */
  admit(): boolean {
    if (!this.budget.take(headerBytes, this)) return false;
    this.#bytes = headerBytes;
    return true;
  }

  /** Marks the body as unfinished: until its end the request may be evicted. */
  beginBody(onEvicted: () => void): void {
    this.#onEvicted = onEvicted;
    this.budget.unfinished.add(this);
  }

  /** Sets what the body takes; false if there is no room for it. */
  resizeBody(bytes: number): boolean {
    const addedBytes = bytes - this.#bodyBytes;
    if (!this.budget.take(addedBytes, this)) return false;
    this.#bytes += addedBytes;
    this.#bodyBytes = bytes;
    return true;
  }

  endBody(): void {
    this.budget.unfinished.delete(this);
    this.#onEvicted = undefined;
  }

  /** Gives up the unfinished body; the request itself is still to be answered. */
  evict(): void {
    const onEvicted = this.#onEvicted;
    this.endBody();
    this.resizeBody(0);
    onEvicted?.();
  }

  release(): void {
    this.endBody();
    this.budget.give(this.#bytes);
    this.#bytes = 0;
    this.#bodyBytes = 0;
  }
}
