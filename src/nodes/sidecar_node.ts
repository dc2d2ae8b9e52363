import { setTimeout as sleep } from "node:timers/promises";
import type { Store } from "../core/store/store.ts";
import { systemClock } from "../adapters/system_clock.ts";
import type { Logger } from "../adapters/logger.ts";
import { acceptKeeper } from "../gate/accept_keeper.ts";
import { Gate } from "../gate/gate.ts";
import { lifeOf } from "../gate/life_of.ts";
import type { RunnerClient } from "../gate/runner_client.ts";
import { PeerAnnouncer } from "./peer_announcer.ts";
import { PeerServer } from "./peer_server.ts";
import type { NodeOptions } from "./node_options.ts";

/** How often an exiting sidecar looks whether its runner's end is stored. */
const checkIntervalMs = 50;

/** A sidecar: connects the gate of its runner to the cell's keeper. */
export class SidecarNode {
  readonly gate: Gate;
  readonly server: PeerServer;
  #announcer: PeerAnnouncer | undefined;

  constructor(
    readonly options: NodeOptions,
    readonly store: Store,
    runner: RunnerClient,
    readonly log: Logger,
  ) {
    this.gate = new Gate(
      runner,
      options.bounds.maxHoldMs,
      systemClock,
      log,
      options.bounds.evacuateMs,
    );
    this.gate.onEnded = (life, before, isSettled) =>
      void this.#announcer?.announceEnd(life, before, isSettled);
    this.server = new PeerServer((channel, hello) =>
      acceptKeeper(this.gate, channel, hello, log)
    );
  }

  /** Accepts connections, announces this sidecar and runs the gate. */
  async start(): Promise<void> {
    const { node, host, peerPort: port, incarnation, strength } = this.options;
    await this.server.listen(host, port);
    const row = {
      role: "sidecar",
      host,
      port,
      incarnation,
      strength,
    } as const;
    this.#announcer = new PeerAnnouncer(
      this.store,
      node,
      row,
      () => this.server.openChannels > 0,
      systemClock,
      this.log,
    );
    void this.#announcer.run();
    void this.gate.run();
  }

  /**
   * Waits, if the runner is leaving too, until it is stored that its life has
   * ended: no later process may be there to tell.
   */
  async awaitRunnerEnd(maxMs: number): Promise<void> {
    const untilMs = systemClock.nowMs() + maxMs;
    while (this.#isEndUnstored && systemClock.nowMs() < untilMs) {
      await sleep(checkIntervalMs);
    }
  }

  /**
   * Whether the runner is leaving, and it is not stored that its life has ended
   * and no start can be under way.
   */
  get #isEndUnstored(): boolean {
    const { isDraining, lastHeartbeat } = this.gate;
    if (!isDraining || lastHeartbeat === undefined) return false;
    return this.#announcer?.storedEnd !== lifeOf(lastHeartbeat) ||
      !this.#announcer.isStoredEndSettled;
  }

  /**
   * Stops the sidecar. The runner's lease is left to run on, so that a new
   * process may take it over.
   */
  close(): void {
    this.gate.stop();
    this.#announcer?.stop();
    this.server.close();
  }
}
