import type { Logger } from "../adapters/logger.ts";
import type { Clock } from "../core/clock/clock.ts";
import type { PeerMessage } from "../link/peer_message.ts";
import type { CallSlots } from "./call_slots.ts";
import type { RunnerResult } from "./runner_result.ts";
import type { RunnerClient } from "./runner_client.ts";
import type { RunnerHeartbeat } from "./runner_heartbeat.ts";
import type { RunnerLease } from "./runner_lease.ts";
import type { StartPermit } from "./start_permit.ts";
import type { StartWindow } from "./start_window.ts";

/** What a gate shares with its parts. */
export interface GateContext {
  readonly runner: RunnerClient;
  readonly lease: RunnerLease;
  readonly startWindow: StartWindow;
  readonly permit: StartPermit;
  /** Bounds the calls that start, stop or pace runs. */
  readonly slots: CallSlots;
  readonly clock: Clock;
  readonly log: Logger;
  /** The newest heartbeat of the runner, which names its current life. */
  readonly lastHeartbeat: RunnerHeartbeat | undefined;
  /** The highest epoch of the keepers that have connected. */
  readonly epoch: number;
  readonly isUp: boolean;
  readonly isDraining: boolean;
  readonly isStopped: boolean;
  /** Sends a message to the keeper, if one is connected. */
  send(message: PeerMessage): void;
  /**
   * Records the reading of the runner's clock that an answer carries to a call
   * sent at that time.
   */
  recordClock(answer: RunnerResult<unknown>, sentAtMs: number): void;
  /**
   * Polls the runner soon, beside a poll that may be waiting. Returns whether the
   * life of the newest heartbeat has answered.
   */
  pollNow(): Promise<boolean>;
}
