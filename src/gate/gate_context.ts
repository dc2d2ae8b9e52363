import type { Logger } from "../adapters/logger.ts";
import type { Clock } from "../core/clock/clock.ts";
import type { MemberMessage } from "../link/member_message.ts";
import type { RunnerAnswer } from "./runner_answer.ts";
import type { RunnerClient } from "./runner_client.ts";
import type { RunnerInfo } from "./runner_info.ts";
import type { RunnerLease } from "./runner_lease.ts";

/** What the parts of a gate share. */
export interface GateContext {
  readonly runner: RunnerClient;
  readonly lease: RunnerLease;
  readonly clock: Clock;
  readonly log: Logger;
  /** The runner's present life, as its heartbeats tell it. */
  readonly info: RunnerInfo | undefined;
  /** The epoch of the newest keeper that was heard. */
  readonly epoch: number;
  readonly isUp: boolean;
  readonly isDraining: boolean;
  readonly isStopped: boolean;
  send(message: MemberMessage): void;
  /** Reads the runner's clock off an answer. */
  heard(answer: RunnerAnswer<unknown>): void;
  /** Asks for a look at the runner soon. */
  lookSoon(): void;
}
