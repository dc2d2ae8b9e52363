import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { StoreFailure } from "../../src/core/store/store_failure.ts";
import type { StoreResult } from "../../src/core/store/store_result.ts";
import type { WriteGuard } from "../../src/core/store/write_guard.ts";
import { sendJson } from "../../src/http/send_json.ts";
import { decodeRecords } from "../../platform/decode_records.ts";
import { encodeRecords } from "../../platform/encode_records.ts";
import { StoreModel } from "../../stand_ins/store/store_model.ts";

/** An answer to a read begins with the end and first offset, 8 bytes each. */
const headerBytes = 16;
const topicPrefix = "keyed.";

/** The platform's store over HTTP on loopback, backed by a `StoreModel`. */
export class StoreStandIn {
  readonly model = new StoreModel();
  /** The latency of each answer. */
  delayMs = 2;
  /** Calls are received and never answered. */
  isHung = false;
  readonly #server: Server;
  #waiters = new Set<() => void>();

  constructor() {
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch((cause: Error) => {
        sendJson(response, 500, { error: cause.message });
      });
    });
  }

  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((done, fail) => {
      this.#server.once("error", fail);
      this.#server.listen(port, host, done);
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://store");
    const chunks: Uint8Array[] = [];
    for await (const chunk of request) chunks.push(chunk as Uint8Array);
    if (this.isHung) return;
    await sleep(this.delayMs);
    const topic = url.searchParams.get("topic") ?? "";
    const stream = topic.slice(topicPrefix.length);
    switch (url.pathname) {
      case "/v1/log-append":
        return await this.#append(url, stream, Buffer.concat(chunks), response);
      case "/v1/log-read":
        return await this.#read(url, stream, response);
      case "/v1/log-newest":
        return await this.#newest(stream, response);
      default:
        sendJson(response, 404, {});
    }
  }

  async #append(
    url: URL,
    stream: string,
    body: Buffer,
    response: ServerResponse,
  ): Promise<void> {
    const { rows } = decodeRecords(
      Buffer.concat([Buffer.alloc(headerBytes), body]),
      0,
    )!;
    const result = await this.model.append(stream, rows, parseGuard(url));
    for (const wake of this.#waiters) wake();
    sendResult(response, result, (value) => sendJson(response, 200, value));
  }

  async #read(url: URL, stream: string, response: ServerResponse) {
    const from = Number(url.searchParams.get("from"));
    const untilMs = performance.now() + Number(url.searchParams.get("waitMs"));
    while (true) {
      const result = await this.model.read(stream, from);
      const remainingMs = untilMs - performance.now();
      const isEmpty = result.isOk && result.value.rows.length === 0;
      if (isEmpty && remainingMs > 0 && !response.destroyed) {
        await this.#waitForAppend(remainingMs);
        continue;
      }
      sendResult(response, result, ({ rows, end }) => {
        const header = Buffer.alloc(headerBytes);
        header.writeBigUInt64BE(BigInt(end));
        response.end(Buffer.concat([header, encodeRecords(rows)]));
      });
      return;
    }
  }

  async #newest(stream: string, response: ServerResponse): Promise<void> {
    sendResult(
      response,
      await this.model.readNewest(stream),
      ({ rows, end }) => {
        const items = rows.map(({ key, value, offset }) => ({
          key,
          value: Buffer.from(value ?? "").toString("base64"),
          offset,
        }));
        sendJson(response, 200, { items, hasMore: false, end });
      },
    );
  }

  async #waitForAppend(withinMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const wake = () => {
        this.#waiters.delete(wake);
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(wake, withinMs);
      this.#waiters.add(wake);
    });
  }
}

function parseGuard({ searchParams }: URL): WriteGuard {
  const at = searchParams.get("at");
  if (at !== null) return { kind: "at", end: Number(at) };
  const writer = searchParams.get("producer");
  if (writer === null) return { kind: "none" };
  return {
    kind: "writer",
    writer,
    epoch: Number(searchParams.get("epoch")),
    sequence: Number(searchParams.get("sequence")),
  };
}

function sendResult<T>(
  response: ServerResponse,
  result: StoreResult<T>,
  send: (value: T) => void,
): void {
  if (result.isOk) send(result.value);
  else sendFailure(response, result.error);
}

function sendFailure(response: ServerResponse, failure: StoreFailure): void {
  switch (failure.kind) {
    case "refused":
      return sendJson(response, 503, {});
    case "conflict":
      return sendJson(response, 412, { end: failure.end });
    case "fenced":
      return sendJson(response, 409, { reason: "fenced" });
    case "sequence":
      return sendJson(response, 409, {
        reason: "seq",
        sequence: failure.expected,
      });
    case "trimmed":
      return sendJson(response, 410, { first: failure.first });
    default:
      // A lost answer would leave its connection silent, so it is closed.
      response.socket?.destroy();
  }
}
