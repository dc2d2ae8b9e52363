import type { CallKind } from "./call_kind.ts";

/** Calls of a kind that comes first in this list go first. */
const kinds: readonly CallKind[] = ["stop", "start", "pace"];

const defaultMaxCalls = 32;

/**
 * Bounds how many calls to a runner are under way. The others wait, since a call
 * holds a connection and a time limit, and callers decide how many there are.
 */
export class CallSlots {
  /** Called when the number of waiting calls has changed. */
  onWaiting: (count: number) => void = () => {};
  #active = 0;
  readonly #waiting: Readonly<Record<CallKind, (() => void)[]>> = {
    stop: [],
    start: [],
    pace: [],
  };

  constructor(readonly maxCalls = defaultMaxCalls) {}

  /** Makes a call once there is a slot for it. */
  async run<T>(kind: CallKind, call: () => Promise<T>): Promise<T> {
    if (this.#active >= this.maxCalls) await this.#awaitSlot(kind);
    else this.#active += 1;
    try {
      return await call();
    } finally {
      this.#release();
    }
  }

  async #awaitSlot(kind: CallKind): Promise<void> {
    const taken = new Promise<void>((take) => this.#waiting[kind].push(take));
    this.#notifyWaiting();
    await taken;
  }

  /** Passes the slot on to a waiting call, or frees it. */
  #release(): void {
    for (const kind of kinds) {
      const take = this.#waiting[kind].shift();
      if (take === undefined) continue;
      this.#notifyWaiting();
      take();
      return;
    }
    this.#active -= 1;
  }

  #notifyWaiting(): void {
    const { stop, start, pace } = this.#waiting;
    this.onWaiting(stop.length + start.length + pace.length);
  }
}
