import type { Socket } from "node:net";

/** What one turn of the event loop may take from all connections. */
const maxTurnCost = 4_096;

/**
 * Bounds the input that is handled in one turn of the event loop: one read of a
 * socket may bring thousands of small chunks or requests. Beyond the bound the
 * other connections are read in the next turn, and those that used the turn up
 * in the one after that.
 */
export class TurnBudget {
  /** All connections; those that last used up a turn are last. */
  readonly #sockets = new Set<Socket>();
  readonly #paused = new Set<Socket>();
  #spenders = new Set<Socket>();
  #cost = 0;
  #isScheduled = false;

  add(socket: Socket): void {
    this.#sockets.add(socket);
    socket.once("close", () => {
      this.#sockets.delete(socket);
      this.#paused.delete(socket);
    });
  }

  /** Notes input of a connection; a chunk of a body costs 1. */
  spend(socket: Socket, cost: number): void {
    const wasOver = this.#isOver;
    this.#cost += cost;
    this.#spenders.add(socket);
    this.#schedule();
    if (wasOver || !this.#isOver) return;
    for (const each of this.#sockets) if (each !== socket) this.#pause(each);
  }

  get #isOver(): boolean {
    return this.#cost > maxTurnCost;
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#endTurn());
  }

  #endTurn(): void {
    this.#isScheduled = false;
    const resting = this.#isOver ? this.#spenders : new Set<Socket>();
    this.#spenders = new Set();
    this.#cost = 0;
    for (const socket of resting) {
      if (this.#sockets.delete(socket)) this.#sockets.add(socket);
    }
    if (this.#paused.size > 0) {
      for (const socket of this.#sockets) {
        if (!resting.has(socket) && this.#paused.delete(socket)) {
          socket.resume();
        }
      }
    }
    for (const socket of resting) this.#pause(socket);
    if (this.#paused.size > 0) this.#schedule();
  }

  /** Pauses a connection, unless a reader that is behind has paused it. */
  #pause(socket: Socket): void {
    if (socket.destroyed || !socket.readableFlowing) return;
    this.#paused.add(socket);
    socket.pause();
  }
}
