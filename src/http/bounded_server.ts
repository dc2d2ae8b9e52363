import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { parseEndpoint } from "../cli/parse_endpoint.ts";
import { listen } from "../peer/listen.ts";
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
/** How often time-outs of headers are checked. */
const checkIntervalMs = 500;
const headerTimeoutMs = 3_000;
const idleTimeoutMs = 15_000;

/** An HTTP server whose clients cannot make it hold more than its bounds. */
export class BoundedServer {
  readonly #server: Server;

  constructor(readonly bounds: RequestBounds, readonly handler: Handler) {
    const options = { connectionsCheckingInterval: checkIntervalMs };
    this.#server = createServer(options, (request, response) => {
      void this.#admit(request, response);
    });
    // The reader of a body has a time limit of its own.
    this.#server.requestTimeout = 0;
    this.setTimeouts(headerTimeoutMs, idleTimeoutMs);
  }

  async listen(address: string): Promise<void> {
    await listen(this.#server, parseEndpoint(address));
  }

  /** Sets how long a header may take, and how long a connection may be idle. */
  setTimeouts(headersMs: number, idleMs: number): void {
    this.#server.headersTimeout = headersMs;
    this.#server.keepAliveTimeout = idleMs;
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
