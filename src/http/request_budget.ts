import type { RequestHold } from "./request_hold.ts";

/**
 * Bounds what all requests under way hold together. The oldest unfinished body
 * gives way to others: a caller that sends its body at once is not the oldest.
 */
export class RequestBudget {
  /** Requests whose bodies are being read, oldest first. */
  readonly unfinished = new Set<RequestHold>();
  #heldBytes = 0;

  constructor(readonly maxBytes: number) {}

  /** Takes room, if need be of unfinished bodies; false if there is none. */
  take(bytes: number, hold: RequestHold): boolean {
    while (bytes > 0 && this.#heldBytes + bytes > this.maxBytes) {
      const [oldest] = this.unfinished;
      if (oldest === undefined || oldest === hold) return false;
      oldest.evict();
    }
    this.#heldBytes += bytes;
    return true;
  }

  give(bytes: number): void {
    this.#heldBytes -= bytes;
  }
}
