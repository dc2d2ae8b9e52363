import type { LimitReason } from "./limit_reason.ts";
import type { LimitReport } from "./limit_report.ts";
import { RequestBudget } from "./request_budget.ts";
import { RequestHold } from "./request_hold.ts";
import type { RequestLimits } from "./request_limits.ts";
import { TurnBudget } from "./turn_budget.ts";

const defaultLimits: RequestLimits = {
  heldBytes: 16_777_216,
  connections: 1_024,
};

/** The bounds that all servers of a process share. */
export class RequestBounds {
  readonly turn = new TurnBudget();
  readonly #budget: RequestBudget;

  constructor(
    readonly limits: RequestLimits = defaultLimits,
    readonly report?: LimitReport,
  ) {
    this.#budget = new RequestBudget(limits.heldBytes);
  }

  /** Admits a request; undefined if there is no room for it. */
  admit(): RequestHold | undefined {
    const hold = new RequestHold(
      this.#budget,
      (reason) => this.recordLimit(reason),
    );
    if (hold.admit()) return hold;
    this.recordLimit("requests_full");
    return undefined;
  }

  /** Records why something was cut. */
  recordLimit(reason: LimitReason): void {
    this.report?.record(reason);
  }
}
