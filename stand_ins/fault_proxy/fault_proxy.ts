import { connect, createServer, type Server, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { RandomSource } from "../../src/core/random/random_source.ts";
import type { ProxyFaults } from "./proxy_faults.ts";

/** Passes TCP connections on, and shows faults on the way. */
export class FaultProxy {
  readonly faults: ProxyFaults = {
    isCut: false,
    isHalfOpen: false,
    delayMs: 0,
    refuseRatio: 0,
    resetRatio: 0,
    truncateRatio: 0,
    resetRequestRatio: 0,
  };
  readonly server: Server;
  readonly #open = new Set<Socket>();

  constructor(readonly targetPort: number, readonly random: RandomSource) {
    this.server = createServer((client) => this.#accept(client));
  }

  /** Changes the faults; a cut resets what is open. */
  set(changes: Partial<ProxyFaults>): void {
    Object.assign(this.faults, changes);
    if (!this.faults.isCut) return;
    for (const socket of this.#open) socket.resetAndDestroy();
  }

  #accept(client: Socket): void {
    const { isCut, refuseRatio } = this.faults;
    client.on("error", () => {});
    if (isCut || this.random.next() < refuseRatio) {
      client.resetAndDestroy();
      return;
    }
    const target = connect(this.targetPort, "127.0.0.1");
    this.#open.add(client);
    target.on("error", () => client.resetAndDestroy());
    client.on("close", () => {
      this.#open.delete(client);
      target.destroy();
    });
    target.on("close", () => client.destroy());
    client.on("data", (chunk) => void this.#pass(chunk, client, target, false));
    target.on("data", (chunk) => void this.#pass(chunk, target, client, true));
  }

  async #pass(
    chunk: Buffer,
    from: Socket,
    to: Socket,
    isAnswer: boolean,
  ): Promise<void> {
    const {
      isHalfOpen,
      delayMs,
      resetRatio,
      truncateRatio,
      resetRequestRatio,
    } = this.faults;
    if (isHalfOpen) return;
    if (delayMs > 0) await delay(delayMs);
    if (to.destroyed) return;
    if (isAnswer && this.random.next() < truncateRatio) {
      to.write(chunk.subarray(0, chunk.byteLength >> 1));
      reset(from, to);
      return;
    }
    to.write(chunk);
    const ratio = isAnswer ? resetRatio : resetRequestRatio;
    if (this.random.next() < ratio) reset(from, to);
  }
}

function reset(from: Socket, to: Socket): void {
  setImmediate(() => {
    from.resetAndDestroy();
    to.resetAndDestroy();
  });
}
