import type { GateContext } from "./gate_context.ts";
import type { Run } from "./run.ts";

/** An order without effect for so long is logged, and again after each of these. */
const minWaitMs = 1_000;
const repeatMs = 5_000;
/** Most lines of one update. */
const maxLines = 10;

interface Order {
  readonly run: Run;
  readonly phase: Run["phase"];
  readonly sinceMs: number;
  loggedAtMs: number;
}

/**
 * Logs the orders that have had no effect for long: starts that have not begun,
 * and stops whose run is not known to be gone. What takes effect soon is logged
 * by the keeper alone.
 */
export class OrderWatch {
  readonly #orders = new Map<Run, Order>();

  constructor(readonly context: GateContext) {}

  /** Looks at the present runs. */
  update(runs: Iterable<Run>): void {
    const { clock, log } = this.context;
    const nowMs = clock.nowMs();
    const present = new Set(runs);
    for (const [run, order] of this.#orders) {
      if (present.has(run) && run.phase === order.phase) continue;
      this.#orders.delete(run);
      if (order.loggedAtMs === -Infinity) continue;
      log.info("order_done", {
        ...fieldsOf(order),
        waited_ms: Math.round(nowMs - order.sinceMs),
        now: present.has(run) ? run.phase : "gone",
      });
    }
    let lines = 0;
    for (const run of present) {
      const { phase } = run;
      if (phase === "running") continue;
      const known = this.#orders.get(run);
      if (known === undefined) {
        const order = { run, phase, sinceMs: nowMs, loggedAtMs: -Infinity };
        this.#orders.set(run, order);
      } else if (lines < maxLines && isDue(known, nowMs)) {
        lines += 1;
        known.loggedAtMs = nowMs;
        this.#log(known, nowMs);
      }
    }
  }

  #log(order: Order, nowMs: number): void {
    const { run, sinceMs } = order;
    const { stopAcknowledgedAtMs: ackAtMs } = run;
    this.context.log.info("order_waits", {
      ...fieldsOf(order),
      waited_ms: Math.round(nowMs - sinceMs),
      has_begun: run.hasBegun,
      is_start_uncertain: run.isStartUncertain,
      is_stop_requested: run.isStopRequested,
      stop_acknowledged_age_ms: ackAtMs && Math.round(nowMs - ackAtMs),
      refusal: run.refusal,
    });
  }
}

function fieldsOf({ run, phase }: Order) {
  return { task: run.task, run: run.run, phase };
}

function isDue({ sinceMs, loggedAtMs }: Order, nowMs: number): boolean {
  return nowMs - sinceMs >= minWaitMs && nowMs - loggedAtMs >= repeatMs;
}
