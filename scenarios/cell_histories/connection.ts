import type { SeededRandom } from "../../stand_ins/seeded_random.ts";
import type { ProcessClock } from "./process_clock.ts";

const maxDelayMs = 40;
/** After this long without a sign of life a connection is closed. */
const silenceMs = 1_500;
const watchIntervalMs = 300;

/** One end of a connection. */
interface End {
  readonly clock: ProcessClock;
  onMessage: (message: never) => void;
  onClose: (reason: string) => void;
  isOpen: boolean;
  /** The handling of the messages that were sent to it so far. */
  received: Promise<void>;
}

/**
 * A connection of two processes. Each direction keeps its order; what was sent
 * before the sender closed, or died, still arrives.
 */
export class Connection {
  readonly ends: readonly [End, End];
  onSent: (from: 0 | 1, message: unknown) => void = () => {};
  #isCut = false;

  constructor(
    clocks: readonly [ProcessClock, ProcessClock],
    readonly random: SeededRandom,
  ) {
    this.ends = [newEnd(clocks[0]), newEnd(clocks[1])];
    for (const index of [0, 1] as const) {
      const end = this.ends[index];
      // A process that wakes up checks its peers before it reads from them.
      const handleResumed = (pausedMs: number) => {
        if (!end.isOpen) end.clock.onResumed.delete(handleResumed);
        else if (pausedMs >= silenceMs) this.close(index, "silent");
      };
      end.clock.onResumed.add(handleResumed);
      void this.#watch(index);
    }
  }

  send(from: 0 | 1, message: unknown): void {
    if (!this.ends[from].isOpen || this.#isCut) return;
    this.onSent(from, message);
    const copy = JSON.parse(JSON.stringify(message));
    this.#deliver(from, (end) => end.onMessage(copy as never));
  }

  /** Closes one end; the other learns of it after what was sent before. */
  close(from: 0 | 1, reason: string): void {
    const end = this.ends[from];
    if (!end.isOpen) return;
    end.isOpen = false;
    end.onClose(reason);
    this.#deliver(from, (other) => this.#closeEnd(other, "closed by peer"));
  }

  /** Loses what is in transit; both ends notice when nothing has come. */
  cut(): void {
    this.#isCut = true;
    for (const end of this.ends) {
      void end.clock.sleep(silenceMs).then(() => this.#closeEnd(end, "silent"));
    }
  }

  /** Closes an end when the process at the other has paused for too long. */
  async #watch(index: 0 | 1): Promise<void> {
    const end = this.ends[index];
    const other = this.ends[index === 0 ? 1 : 0];
    while (end.isOpen) {
      await end.clock.sleep(watchIntervalMs);
      if (other.clock.pausedMs >= silenceMs) this.close(index, "silent");
    }
  }

  #closeEnd(end: End, reason: string): void {
    if (!end.isOpen) return;
    end.isOpen = false;
    end.onClose(reason);
  }

  #deliver(from: 0 | 1, handle: (end: End) => void): void {
    const end = this.ends[from === 0 ? 1 : 0];
    const { world } = end.clock;
    const arrived = world.sleep(this.random.next() * maxDelayMs);
    end.received = end.received
      .then(() => arrived)
      .then(() => end.clock.awake())
      .then(() => {
        if (end.isOpen && !this.#isCut) handle(end);
      });
  }
}

function newEnd(clock: ProcessClock): End {
  return {
    clock,
    onMessage: () => {},
    onClose: () => {},
    isOpen: true,
    received: Promise.resolve(),
  };
}
