import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/**
 * Bounds the connections of a server. A new one takes the place of the one that
 * has had no whole request for longest, of a client that does not read its
 * answers, or of an unfinished body; only if there is none it is refused.
 */
export class ConnectionLimiter {
  /** Connections without a request under way, the longest one first. */
  readonly #idle = new Set<Socket>();
  readonly #busy = new Map<Socket, Set<Exchange>>();

  constructor(
    readonly maxConnections: number,
    readonly onLimit: (
      reason: "connection_evicted" | "connections_full",
    ) => void,
  ) {}

  /** Admits a connection, or destroys it. */
  accept(socket: Socket): void {
    if (this.#idle.size + this.#busy.size >= this.maxConnections) {
      const evicted = this.#dispensable();
      this.onLimit(
        evicted === undefined ? "connections_full" : "connection_evicted",
      );
      (evicted ?? socket).destroy();
      if (evicted === undefined) return;
      this.#forget(evicted);
    }
    this.#idle.add(socket);
    socket.once("close", () => this.#forget(socket));
  }

  /** Notes a request that is under way until its response closes. */
  begin(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    if (!this.#idle.delete(socket) && !this.#busy.has(socket)) return;
    const exchange = { request, response };
    const exchanges = this.#busy.get(socket) ?? new Set();
    this.#busy.set(socket, exchanges.add(exchange));
    response.once("close", () => {
      exchanges.delete(exchange);
      if (exchanges.size > 0 || !this.#busy.delete(socket)) return;
      if (!socket.destroyed) this.#idle.add(socket);
    });
  }

  #dispensable(): Socket | undefined {
    const [idle] = this.#idle;
    if (idle !== undefined) return idle;
    const busy = [...this.#busy];
    const [unread] =
      busy.find(([, exchanges]) =>
        [...exchanges].every(({ response }) => response.writableEnded)
      ) ?? [];
    if (unread !== undefined) return unread;
    const [unfinished] =
      busy.find(([, exchanges]) =>
        [...exchanges].some(({ request }) => !request.complete)
      ) ?? [];
    return unfinished;
  }

  #forget(socket: Socket): void {
    this.#idle.delete(socket);
    this.#busy.delete(socket);
  }
}
