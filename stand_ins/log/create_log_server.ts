import type { Server } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { TokenBucket } from "../../src/core/budget/token_bucket.ts";
import { createJsonServer } from "../create_json_server.ts";
import { LogModel } from "./log_model.ts";

/** The body of a request to /admin. */
interface LogAdmin {
  readonly isDown?: boolean;
  readonly answersToLose?: number;
  readonly retentionMs?: number;
  readonly retentionRecords?: number;
  readonly delayMs?: number;
}

/**
 * Serves the log's streams over HTTP: POST appends, GET reads a page. A request
 * to /admin sets faults, and one to /truth returns counts for tests.
 */
export function createLogServer(appendsPerSecond: number): Server {
  const model = new LogModel();
  const rate = new TokenBucket(appendsPerSecond, appendsPerSecond);
  let delayMs = 1;
  const reads = { count: 0 };
  return createJsonServer(async (method, url, body) => {
    const nowMs = performance.now();
    const [root, stream = "", action] = url.pathname.split("/").slice(1);
    if (root === "admin") {
      const { delayMs: newDelayMs, ...changes } = body as LogAdmin;
      Object.assign(model, changes);
      delayMs = newDelayMs ?? delayMs;
      return ok({});
    }
    if (root === "truth") {
      const { appendCount: appends, appendedBytes } = model;
      return ok({ appends, appendedBytes, reads: reads.count });
    }
    await delay(delayMs);
    if (model.isDown) return { status: 503, body: { error: "down" } };
    if (method === "POST" && action === "append") {
      if (!rate.consume(nowMs)) return { status: 429, body: { error: "rate" } };
      const { records } = body as { records: unknown[] };
      model.appendedBytes += JSON.stringify(records).length;
      const firstOffset = model.append(stream, records, nowMs);
      return model.consumeAnswerLoss() ? "hang up" : ok({ first: firstOffset });
    }
    reads.count += 1;
    const from = Number(url.searchParams.get("from") ?? 0);
    const max = Number(url.searchParams.get("max") ?? 1_000);
    return ok(model.read(stream, from, max, nowMs));
  });
}

function ok(body: unknown): { status: number; body: unknown } {
  return { status: 200, body };
}
