import type { Logger } from "../../src/adapters/logger.ts";
import type { KeeperBounds } from "../../src/cellhost/keeper_bounds.ts";
import { acceptKeeper } from "../../src/gate/accept_keeper.ts";
import { Gate } from "../../src/gate/gate.ts";
import type { RunnerClient } from "../../src/gate/runner_client.ts";
import type { KeeperMessage } from "../../src/link/keeper_message.ts";
import type { PeerMessage } from "../../src/link/peer_message.ts";
import type { PeerAnnouncer } from "../../src/nodes/peer_announcer.ts";
import type { RunnerModel } from "../../stand_ins/runner/runner_model.ts";
import type { Connection } from "./connection.ts";
import { ProcessClock } from "./process_clock.ts";

/** How long it waits for the store before it ends. */
const maxGraceMs = 3_000;
const graceCheckMs = 20;

/** A process of a sidecar: its gate, beside the worker's runner. */
export class HistorySidecar {
  readonly gate: Gate;
  /** Whether it is stored that the runner's life has ended. */
  #isEndStored = false;

  constructor(
    readonly runner: RunnerModel,
    readonly clock: ProcessClock,
    readonly bounds: KeeperBounds,
    readonly zone: string,
    readonly log: Logger,
    /** Undefined in histories whose keepers know each sidecar's address. */
    readonly announcer?: PeerAnnouncer,
  ) {
    const client = clientOf(runner, clock);
    const { evacuateMs, maxHoldMs } = bounds;
    this.gate = new Gate(client, maxHoldMs, clock, log, evacuateMs);
    if (announcer !== undefined) {
      this.gate.onEnded = (life, before) =>
        void announcer.announceEnd(life, before)
          .then(() => this.#isEndStored = true);
      void announcer.run();
    }
    void this.gate.run();
  }

  /** Handles a keeper's connection; this process is end 1. */
  accept(
    connection: Connection,
    hello: Extract<KeeperMessage, { kind: "hello" }>,
  ): void {
    const [, end] = connection.ends;
    const channel = {
      onMessage: (_message: KeeperMessage) => {},
      onClose: (_reason: string) => {},
      send: (message: PeerMessage) => connection.send(1, message),
      close: (reason: string) => connection.close(1, reason),
    };
    end.onMessage = (message: KeeperMessage) => channel.onMessage(message);
    end.onClose = (reason) => channel.onClose(reason);
    acceptKeeper(this.gate, channel, hello, this.log);
  }

  /** Handles a SIGTERM that comes after a time; resolves when it ends. */
  async awaitEnd(afterMs: number): Promise<void> {
    await this.clock.awake();
    const endsAtMs = this.clock.nowMs() + afterMs;
    while (
      this.clock.nowMs() < endsAtMs ||
      (!this.#isEndStored && this.clock.nowMs() < endsAtMs + maxGraceMs)
    ) await this.clock.sleep(graceCheckMs);
  }

  /** Passes on the runner's heartbeat. */
  sendHeartbeat(
    sequence: number,
    isDraining: boolean,
    cpuMilli: number,
    { instance, bornMs }: Pick<RunnerModel, "instance" | "bornMs"> =
      this.runner,
  ): void {
    this.gate.handleHeartbeat({
      instance,
      bornMs,
      pool: "pool",
      zone: this.zone,
      rack: "r1",
      labels: [],
      capacity: { cpuMilli, memoryBytes: 2 ** 40, accelerators: 0 },
      isDraining,
      sequence,
    });
  }
}

/** The runner as a process sees it: no answer arrives while it is paused. */
function clientOf(runner: RunnerModel, clock: ProcessClock): RunnerClient {
  const whenAwake = async <T>(answer: Promise<T>): Promise<T> => {
    const value = await answer;
    await clock.awake();
    return value;
  };
  return {
    start: (command) => whenAwake(runner.start(command)),
    stop: (command) => whenAwake(runner.stop(command)),
    pace: (command) => whenAwake(runner.pace(command)),
    hold: (request) => whenAwake(runner.hold(request)),
  };
}
