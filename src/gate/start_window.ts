/**
 * The share of `evacuateMs`, at most half a second, that is left for the
 * runner's answer.
 */
const marginShare = 0.1;
const maxMarginMs = 500;
const maxOpenReports = 64;

/**
 * Decides until when a gate may start runs for its keeper. The keeper's renewal
 * of a report tells how old its read of the operator's stream is; counted from
 * the sending of that report, no delay of either message can make the read look
 * newer than it is. Handles a keeper that is cut off, paused or deposed while a
 * start is on its way or is being repeated.
 */
export class StartWindow {
  /** Whether the data centre is evacuated, by the keeper that last said so. */
  isEvacuated = false;
  /** The keeper's read covers what was acknowledged before this local time. */
  #readAtMs = -Infinity;
  /** Whether the keeper tells ages; one of an earlier version does not. */
  #isTold = false;
  /** When the connection began, and the end for starts of earlier ones. */
  #beganAtMs = -Infinity;
  #earlierEndMs = Infinity;
  /** When each report that awaits its renewal was sent. */
  readonly #reports = new Map<number, number>();

  constructor(readonly evacuateMs: number | undefined) {}

  /**
   * Starts over for a keeper's connection. Whether the data centre is evacuated
   * stands until the keeper says otherwise, and so does the end for the starts
   * that came before.
   */
  reset(nowMs: number): void {
    this.#earlierEndMs = Math.min(this.#earlierEndMs, this.#endMs);
    this.#beganAtMs = nowMs;
    this.#readAtMs = -Infinity;
    this.#isTold = false;
    this.#reports.clear();
  }

  /** Applies what the keeper says; one that does also tells ages. */
  setEvacuated(isEvacuated: boolean): void {
    this.isEvacuated = isEvacuated;
    this.#isTold = true;
  }

  recordReport(number: number, nowMs: number): void {
    if (this.evacuateMs === undefined) return;
    this.#reports.set(number, nowMs);
    const [oldest] = this.#reports.keys();
    if (this.#reports.size > maxOpenReports && oldest !== undefined) {
      this.#reports.delete(oldest);
    }
  }

  /** Applies the renewal of a report with the age of the keeper's read. */
  renew(number: number, ageMs: number | undefined): void {
    const sentAtMs = this.#reports.get(number);
    if (ageMs === undefined || sentAtMs === undefined) return;
    for (const earlier of this.#reports.keys()) {
      if (earlier <= number) this.#reports.delete(earlier);
    }
    this.#isTold = true;
    this.#readAtMs = Math.max(this.#readAtMs, sentAtMs - ageMs);
  }

  /**
   * The local time from which a start whose command arrived at a time must not
   * be executed; infinite if there is none.
   */
  endMsFor(arrivedAtMs: number): number {
    return arrivedAtMs <= this.#beganAtMs ? this.#earlierEndMs : this.#endMs;
  }

  get #endMs(): number {
    const { evacuateMs } = this;
    if (evacuateMs === undefined || !this.#isTold) return Infinity;
    const marginMs = Math.min(maxMarginMs, evacuateMs * marginShare);
    return this.#readAtMs + evacuateMs - marginMs;
  }

  /**
   * Whether a start whose command arrived at a time may be sent now. Without
   * an answer it is given up after half of `evacuateMs`, because the keeper
   * that could tell of an evacuation may be gone.
   */
  isOpen(arrivedAtMs: number, nowMs: number): boolean {
    const { evacuateMs } = this;
    if (evacuateMs === undefined) return true;
    return nowMs - arrivedAtMs < evacuateMs / 2 &&
      nowMs < this.endMsFor(arrivedAtMs);
  }
}
