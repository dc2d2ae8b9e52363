import { connect, createServer, type Server, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { RandomSource } from "../../src/core/random/random_source.ts";
import type { ProxyFaults } from "./proxy_faults.ts";

/** How long an answer waits for another to be swapped with. */
const heldMs = 100;

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
    loseRatio: 0,
    swapRatio: 0,
  };
  readonly server: Server;
  readonly #open = new Set<Socket>();
  /** An answer that waits for another to be swapped with. */
  #held: { readonly chunk: Buffer; readonly to: Socket } | undefined;

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
    if (isAnswer && this.random.next() < this.faults.loseRatio) return;
    if (isAnswer && this.random.next() < this.faults.swapRatio) {
      this.#swap(chunk, to);
      return;
    }
    if (isAnswer && this.random.next() < truncateRatio) {
      to.write(chunk.subarray(0, chunk.byteLength >> 1));
      reset(from, to);
      return;
    }
    to.write(chunk);
    const ratio = isAnswer ? resetRatio : resetRequestRatio;
    if (this.random.next() < ratio) reset(from, to);
  }

  #swap(chunk: Buffer, to: Socket): void {
    const held = this.#held;
    if (held === undefined || held.to === to) {
      this.#held = { chunk, to };
      setTimeout(() => this.#release(chunk), heldMs);
      return;
    }
    this.#held = undefined;
    if (!to.destroyed) to.write(held.chunk);
    if (!held.to.destroyed) held.to.write(chunk);
  }

  /** Nothing came to swap with. */
  #release(chunk: Buffer): void {
    const held = this.#held;
    if (held?.chunk !== chunk) return;
    this.#held = undefined;
    if (!held.to.destroyed) held.to.write(chunk);
  }
}

function reset(from: Socket, to: Socket): void {
  setImmediate(() => {
    from.resetAndDestroy();
    to.resetAndDestroy();
  });
}
