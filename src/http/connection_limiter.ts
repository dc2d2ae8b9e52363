import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { LimitReason } from "./limit_reason.ts";

/** Of one connection that have not been answered, or their answers not sent. */
const maxRequestsAhead = 8;

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
    readonly onLimit: (reason: LimitReason) => void,
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

  /**
   * Notes a request that is under way until its response closes; false if its
   * connection is closed, or is now for sending too many requests ahead.
   */
  begin(request: IncomingMessage, response: ServerResponse): boolean {
    const { socket } = request;
    if (socket.destroyed) return false;
    const exchanges = this.#busy.get(socket) ?? new Set();
    if (exchanges.size >= maxRequestsAhead) {
      this.onLimit("requests_ahead");
      socket.destroy();
      return false;
    }
    const exchange = { request, response };
    this.#idle.delete(socket);
    this.#busy.set(socket, exchanges.add(exchange));
    response.once("close", () => {
      exchanges.delete(exchange);
      if (exchanges.size > 0 || !this.#busy.delete(socket)) return;
      if (!socket.destroyed) this.#idle.add(socket);
    });
    return true;
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
    const exchanges = this.#busy.get(socket) ?? [];
    this.#busy.delete(socket);
    // Node tells it only to the response that it was sending.
    for (const { response } of exchanges) response.emit("close");
  }
}
