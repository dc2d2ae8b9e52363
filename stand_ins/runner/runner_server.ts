import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import type { RandomSource } from "../../src/core/random/random_source.ts";
import type { RunnerBody } from "./runner_body.ts";
import type { RunnerFaults } from "./runner_faults.ts";

const eventIntervalMs = 50;
const slots = 8;

/** A runner with eight slots that serves checks, orders and watches. */
export class RunnerServer {
  readonly faults: RunnerFaults = {
    slowFactor: 1,
    crossedRatio: 0,
    truncatedRatio: 0,
    resetRatio: 0,
  };
  /** How many times each marker was processed. */
  readonly ran = new Map<string, number>();
  busy = 0;
  /** The highest number of requests at once, waiting ones included. */
  mostBusy = 0;
  readonly server: Server;
  readonly #waiting: (() => void)[] = [];

  constructor(
    readonly id: string,
    readonly meanMs: number,
    readonly random: RandomSource,
  ) {
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://runner");
    const text = await readText(request);
    switch (url.pathname) {
      case "/check":
      case "/order":
        await this.#process(request, response, JSON.parse(text) as RunnerBody);
        return;
      case "/watch":
        await this.#watch(response, Number(url.searchParams.get("from")));
        return;
      case "/admin":
        Object.assign(this.faults, JSON.parse(text));
        send(response, {}, "");
        return;
      case "/truth": {
        const { busy, mostBusy } = this;
        send(
          response,
          { ran: Object.fromEntries(this.ran), busy, mostBusy },
          "",
        );
        return;
      }
      default:
        response.writeHead(404).end();
    }
  }

  async #process(
    request: IncomingMessage,
    response: ServerResponse,
    body: RunnerBody,
  ): Promise<void> {
    await this.#acquireSlot();
    const attemptId = String(request.headers["x-attempt-id"]);
    const meanMs = body.workMs ?? this.meanMs;
    // Exponentially distributed around the mean, capped at eight times it.
    const drawnMs = body.workMs ?? -Math.log(1 - this.random.next()) * meanMs;
    if (body.marker) {
      this.ran.set(body.marker, (this.ran.get(body.marker) ?? 0) + 1);
    }
    await delay(Math.min(drawnMs, meanMs * 8) * this.faults.slowFactor);
    this.#releaseSlot();
    this.#answer(request, response, body, attemptId);
  }

  #answer(
    request: IncomingMessage,
    response: ServerResponse,
    body: RunnerBody,
    attemptId: string,
  ): void {
    const { crossedRatio, truncatedRatio, resetRatio } = this.faults;
    if (this.random.next() < resetRatio) {
      request.socket.destroy();
      return;
    }
    if (body.fails) {
      send(response, { error: "failed" }, attemptId, 500);
      return;
    }
    const isCrossed = this.random.next() < crossedRatio;
    const echoed = isCrossed ? `${attemptId}-other` : attemptId;
    const marker = isCrossed ? "another's" : body.marker ?? null;
    const answer = { marker, runner: this.id };
    if (this.random.next() < truncatedRatio) {
      const bytes = Buffer.from(JSON.stringify(answer));
      response.writeHead(200, {
        "content-length": bytes.byteLength,
        "x-attempt-id": echoed,
      });
      response.write(bytes.subarray(0, bytes.byteLength >> 1));
      setImmediate(() => request.socket.destroy());
      return;
    }
    send(response, answer, echoed);
  }

  /** Streams events; all runners return the same event at a position. */
  async #watch(response: ServerResponse, from: number): Promise<void> {
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    let position = from;
    while (!response.destroyed) {
      const line = JSON.stringify({
        position,
        body: { level: position * 7 % 100 },
      });
      response.write(`${line}\n`);
      position += 1;
      await delay(eventIntervalMs);
    }
  }

  async #acquireSlot(): Promise<void> {
    if (this.busy >= slots) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    }
    this.busy += 1;
    this.mostBusy = Math.max(this.mostBusy, this.busy + this.#waiting.length);
  }

  #releaseSlot(): void {
    this.busy -= 1;
    this.#waiting.shift()?.();
  }
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of request) chunks.push(chunk as Uint8Array);
  return Buffer.concat(chunks).toString();
}

function send(
  response: ServerResponse,
  body: unknown,
  attemptId: string,
  status = 200,
): void {
  const bytes = Buffer.from(JSON.stringify(body));
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": bytes.byteLength,
    "x-attempt-id": attemptId,
  });
  response.end(bytes);
}
