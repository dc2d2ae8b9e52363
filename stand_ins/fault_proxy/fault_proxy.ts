import { connect, createServer, type Server, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { RandomSource } from "../../src/core/random/random_source.ts";
import type { ProxyFaults } from "./proxy_faults.ts";

/** How long a chunk of an answer waits for another to be swapped with. */
const swapWaitMs = 100;

/** A TCP proxy on loopback that injects faults into what it forwards. */
export class FaultProxy {
  readonly faults: ProxyFaults = {
    isCut: false,
    isHalfOpen: false,
    delayMs: 0,
    refuseRatio: 0,
    resetRatio: 0,
    truncateRatio: 0,
    resetRequestRatio: 0,
    loseRatio: 0,
    swapRatio: 0,
  };
  readonly server: Server;
  readonly #openClients = new Set<Socket>();
  /** A chunk of an answer that waits for another to be swapped with. */
  #waiting: { readonly chunk: Buffer; readonly to: Socket } | undefined;

  constructor(readonly targetPort: number, readonly random: RandomSource) {
    this.server = createServer((client) => this.#accept(client));
  }

  /** Changes the given faults; a cut also resets all open connections. */
  setFaults(changes: Partial<ProxyFaults>): void {
    Object.assign(this.faults, changes);
    if (!this.faults.isCut) return;
    for (const socket of this.#openClients) socket.resetAndDestroy();
  }

  #accept(client: Socket): void {
    const { isCut, refuseRatio } = this.faults;
    client.on("error", () => {});
    if (isCut || this.random.next() < refuseRatio) {
      client.resetAndDestroy();
      return;
    }
    const target = connect(this.targetPort, "127.0.0.1");
    this.#openClients.add(client);
    target.on("error", () => client.resetAndDestroy());
    client.on("close", () => {
      this.#openClients.delete(client);
      target.destroy();
    });
    target.on("close", () => client.destroy());
    client.on(
      "data",
      (chunk) => void this.#forward(chunk, client, target, false),
    );
    target.on(
      "data",
      (chunk) => void this.#forward(chunk, target, client, true),
    );
  }

  async #forward(
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
    if (isAnswer && this.random.next() < this.faults.loseRatio) return;
    if (isAnswer && this.random.next() < this.faults.swapRatio) {
      this.#swap(chunk, to);
      return;
    }
    if (isAnswer && this.random.next() < truncateRatio) {
      to.write(chunk.subarray(0, chunk.byteLength >> 1));
      resetBoth(from, to);
      return;
    }
    to.write(chunk);
    const ratio = isAnswer ? resetRatio : resetRequestRatio;
    if (this.random.next() < ratio) resetBoth(from, to);
  }

  /** Swaps the chunk with that of another caller, or lets it wait for one. */
  #swap(chunk: Buffer, to: Socket): void {
    const waiting = this.#waiting;
    if (waiting === undefined || waiting.to === to) {
      this.#waiting = { chunk, to };
      setTimeout(() => this.#sendUnswapped(chunk), swapWaitMs);
      return;
    }
    this.#waiting = undefined;
    if (!to.destroyed) to.write(waiting.chunk);
    if (!waiting.to.destroyed) waiting.to.write(chunk);
  }

  /** Sends the chunk to its own caller if none came to swap with. */
  #sendUnswapped(chunk: Buffer): void {
    const waiting = this.#waiting;
    if (waiting?.chunk !== chunk) return;
    this.#waiting = undefined;
    if (!waiting.to.destroyed) waiting.to.write(chunk);
  }
}

/** Resets both sides on the next turn of the event loop, after a write. */
function resetBoth(from: Socket, to: Socket): void {
  setImmediate(() => {
    from.resetAndDestroy();
    to.resetAndDestroy();
  });
}
