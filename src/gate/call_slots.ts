/** The kinds of calls; those that come first in this list go first. */
const kinds = ["stop", "start", "pace"] as const;
type CallKind = typeof kinds[number];

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
    this.#tellWaiting();
    await taken;
  }

  /** Passes the slot on to a waiting call, or frees it. */
  #release(): void {
    for (const kind of kinds) {
      const take = this.#waiting[kind].shift();
      if (take === undefined) continue;
      this.#tellWaiting();
      take();
      return;
    }
    this.#active -= 1;
  }

  #tellWaiting(): void {
    const { stop, start, pace } = this.#waiting;
    this.onWaiting(stop.length + start.length + pace.length);
  }
}
