import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { parseEndpoint } from "../cli/parse_endpoint.ts";
import { listen } from "../peer/listen.ts";
import { ConnectionLimiter } from "./connection_limiter.ts";
import type { RequestBounds } from "./request_bounds.ts";
import type { RequestHold } from "./request_hold.ts";
import { sendUnavailable } from "./send_unavailable.ts";

type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
  hold: RequestHold,
) => void | Promise<void>;

/** How long the rest of a request may come after its answer. */
const closeDelayMs = 200;
const chunkCost = 1;
/** A request takes about as much as so many chunks of a body. */
const requestCost = 16;
/** How often time-outs of headers are checked. */
const checkIntervalMs = 500;
const headerTimeoutMs = 3_000;
const idleTimeoutMs = 15_000;
/** Longer than a request is handled: its client does not read the answer. */
const stalledTimeoutMs = 75_000;
/** Of a listener for the few clients beside callers. */
const sideConnections = 64;

/**
 * An HTTP server whose clients cannot make it hold more than its bounds. A
 * handler reads a request's body from the beginning, or it is dropped.
 */
export class BoundedServer {
  readonly #server: Server;
  readonly #connections: ConnectionLimiter;

  constructor(
    readonly bounds: RequestBounds,
    readonly handler: Handler,
    maxConnections = sideConnections,
  ) {
    const options = { connectionsCheckingInterval: checkIntervalMs };
    this.#server = createServer(options, (request, response) => {
      void this.#admit(request, response);
    });
    this.#connections = new ConnectionLimiter(
      maxConnections,
      (reason) => bounds.recordLimit(reason),
    );
    this.#server.on("connection", (socket) => {
      bounds.turn.add(socket);
      this.#connections.accept(socket);
    });
    // The reader of a body has a time limit of its own.
    this.#server.requestTimeout = 0;
    this.setTimeouts(headerTimeoutMs, idleTimeoutMs);
  }

  async listen(address: string): Promise<void> {
    await listen(this.#server, parseEndpoint(address));
  }

  /**
   * Sets how long a header may take, how long a connection may be idle, and how
   * long nothing may be sent or received on it while a request is under way.
   */
  setTimeouts(
    headersMs: number,
    idleMs: number,
    stalledMs = stalledTimeoutMs,
  ): void {
    this.#server.headersTimeout = headersMs;
    this.#server.keepAliveTimeout = idleMs;
    this.#server.timeout = stalledMs;
  }

  /** Accepts no new connections and closes idle ones. */
  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  async #admit(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { bounds: { turn } } = this;
    turn.spend(request.socket, requestCost);
    // Also drops the body of a request whose handler does not read it.
    request.on("data", () => turn.spend(request.socket, chunkCost));
    if (!this.#connections.begin(request, response)) return;
    const hold = this.bounds.admit();
    if (hold === undefined) {
      response.setHeader("connection", "close");
      sendUnavailable(response, "too much is under way");
      return;
    }
    response.once("finish", () => {
      if (!request.complete) setTimeout(() => request.destroy(), closeDelayMs);
    });
    const closed = new Promise((resolve) => response.once("close", resolve));
    await this.handler(request, response, hold);
    await closed;
    hold.release();
  }
}
