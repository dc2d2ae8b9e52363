import type { Clock } from "../core/clock/clock.ts";
import type { Row } from "../core/store/row.ts";
import type { CallerTime } from "./caller_time.ts";
import type { RowStorer } from "./row_storer.ts";
import type { StoreHealth } from "./store_health.ts";
import type { StoreOutcome } from "./store_outcome.ts";
import type { SubmissionWriter } from "./submission_writer.ts";

/** The pause before a retry while no append may have stored the row. */
const retryPauseMs = 15;
/** The pause before a retry once an append may have stored the row. */
const uncertainPauseMs = 100;
/** The share of a caller's time for retries; another entry may use the rest. */
const retryShare = 0.5;
/** How many refused appends end a request as refused. */
const maxRefusals = 3;
const retryAfterMs = 1_000;

const refused = {
  kind: "refused",
  reason: "store_refusal",
  retryAfterMs,
} as const;

/** Retries for a share of the caller's time; refuses at once in an outage. */
export class RetryingStorer implements RowStorer {
  constructor(
    readonly writer: SubmissionWriter,
    readonly health: StoreHealth,
    readonly clock: Clock,
  ) {}

  mayHaveStored(key: string): boolean {
    return this.writer.mayHaveStored(key);
  }

  mayStillStore(key: string): boolean {
    return this.writer.mayStillStore(key);
  }

  async store(row: Row, { withinMs }: CallerTime): Promise<StoreOutcome> {
    if (this.health.isUnreachable(this.clock.nowMs())) {
      return outcome(this.writer.mayHaveStored(row.key));
    }
    const untilMs = this.clock.nowMs() + withinMs * retryShare;
    let isUncertain = false;
    let refusals = 0;
    while (this.clock.nowMs() < untilMs && refusals < maxRefusals) {
      const result = await this.writer.append(row);
      if (result.isOk) return { kind: "stored" };
      if (result.error.kind === "unknown") isUncertain = true;
      else if (!isUncertain) refusals += 1;
      await this.clock.sleep(isUncertain ? uncertainPauseMs : retryPauseMs);
    }
    return outcome(isUncertain);
  }
}

function outcome(isUncertain: boolean): StoreOutcome {
  return isUncertain ? { kind: "unknown" } : refused;
}
