import type { Clock } from "../core/clock/clock.ts";
import { maxPermitMs } from "../core/clock/max_permit_ms.ts";

/** How often a waiting start looks whether it is still needed. */
const checkMs = 100;
/** While there is no renewal, reports are asked for as rarely as usual ones. */
const requestIntervalMs = 450;
const maxOpenReports = 64;

interface SentAt {
  readonly atMs: number;
  readonly wallMs: number;
}

/**
 * Lets starts leave only soon after a report that the keeper has renewed. The
 * keeper thus knows when the last of them left, though a next life of the runner
 * may have taken it.
 */
export class StartPermit {
  readonly #reports = new Map<number, SentAt>();
  #renewed: SentAt | undefined;
  #askedAtMs = -Infinity;
  readonly #waiting = new Set<() => void>();

  constructor(readonly clock: Clock, readonly sendReport: () => void) {}

  /** Whether a start may leave. The monotonic clock may stop in a suspension. */
  get isValid(): boolean {
    if (this.#renewed === undefined) return false;
    const { atMs, wallMs } = this.#renewed;
    return this.clock.nowMs() - atMs < maxPermitMs &&
      this.clock.wallMs() - wallMs < maxPermitMs;
  }

  /** Records that a report was sent while the runner was up. */
  recordReport(number: number): void {
    const { clock } = this;
    const sentAt = { atMs: clock.nowMs(), wallMs: clock.wallMs() };
    this.#reports.set(number, sentAt);
    const [oldest] = this.#reports.keys();
    if (this.#reports.size > maxOpenReports && oldest !== undefined) {
      this.#reports.delete(oldest);
    }
  }

  /** Records that the keeper has renewed a report. */
  renew(number: number): void {
    const sentAt = this.#reports.get(number);
    if (sentAt === undefined) return;
    for (const earlier of this.#reports.keys()) {
      if (earlier <= number) this.#reports.delete(earlier);
    }
    this.#renewed = sentAt;
    for (const wake of this.#waiting) wake();
  }

  /** Waits until a start may leave, or is not needed any more. */
  async wait(isNeeded: () => boolean): Promise<void> {
    while (!this.isValid && isNeeded()) {
      const pause = this.#pause();
      this.#requestReport();
      await pause;
    }
  }

  #requestReport(): void {
    const nowMs = this.clock.nowMs();
    if (nowMs - this.#askedAtMs < requestIntervalMs) return;
    this.#askedAtMs = nowMs;
    this.sendReport();
  }

  async #pause(): Promise<void> {
    let wake = () => {};
    const renewed = new Promise<void>((resolve) => wake = resolve);
    this.#waiting.add(wake);
    await Promise.race([this.clock.sleep(checkMs), renewed]);
    this.#waiting.delete(wake);
  }
}
