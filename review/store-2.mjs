// A stand-in of the platform's store: the keyed topics of its log, in memory.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const appendMs = 3;
const answerMs = 1;
const recordBytes = 262_144;
const callBytes = 2_097_152;
const pageItems = 500;
const pageBytes = 1_000_000;
/** The answers of a producer's last appends that a repeat gets again. */
const rememberedAppends = 5;

/**
 * `faultOf(call)` decides what becomes of a call; `call` has `node`, `path`,
 * `topic` and, for appends, `keys`. It returns undefined, a status (503: nothing
 * was done), "silent" (nothing was done and nothing is answered), or a number of
 * ms in `{ lateMs }` after which an unanswered append is executed.
 */
export class Store {
  faultOf = () => undefined;
  #topics = new Map();
  #servers = [];

  /** Listens at an address that only one machine uses. */
  async listen(host, port, node) {
    const server = createServer((request, response) => {
      this.#handle(node, request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    await new Promise((done, fail) => {
      server.once("error", fail);
      server.listen(port, host, done);
    });
    this.#servers.push(server);
  }

  close() {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** What the operator writes, or what earlier traffic has left. */
  put(topic, rows) {
    this.#push(this.#topic(topic), rows);
  }

  /** The newest value of each key of a topic. */
  newest(topic) {
    return this.#topic(topic).newest;
  }

  #topic(name) {
    let topic = this.#topics.get(name);
    if (topic === undefined) {
      topic = {
        records: [],
        newest: new Map(),
        producers: new Map(),
        waiters: new Set(),
        busyUntilMs: 0,
      };
      this.#topics.set(name, topic);
    }
    return topic;
  }

  #push(topic, rows) {
    for (const { key, value } of rows) {
      const record = { key, value, offset: topic.records.length };
      topic.records.push(record);
      if (value === undefined) topic.newest.delete(key);
      else topic.newest.set(key, record);
    }
    for (const wake of topic.waiters) wake();
  }

  async #handle(node, request, response) {
    const url = new URL(request.url, "http://store");
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const name = url.searchParams.get("topic") ?? "";
    const path = url.pathname;
    const rows = path === "/v1/log-append" ? decodeRows(body) : [];
    const keys = rows.map(({ key }) => key);
    const fault = this.faultOf({ node, path, topic: name, keys });
    if (fault === "silent") return;
    if (typeof fault === "number") return sendJson(response, fault, {});
    await sleep(answerMs);
    const topic = this.#topic(name);
    if (path === "/v1/log-append") {
      if (typeof fault === "object") {
        await sleep(fault.lateMs);
        this.#append(topic, url, rows, body.length);
        return;
      }
      const nowMs = performance.now();
      topic.busyUntilMs = Math.max(nowMs, topic.busyUntilMs) + appendMs;
      await sleep(topic.busyUntilMs - nowMs);
      const [status, answer] = this.#append(topic, url, rows, body.length);
      return sendJson(response, status, answer);
    }
    if (path === "/v1/log-read") {
      await read(
        topic,
        url,
        response,
        () => this.faultOf({ node, path, topic: name, keys }) === undefined,
      );
      return;
    }
    if (path === "/v1/log-newest") return sendNewest(topic, url, response);
    sendJson(response, 404, {});
  }

  #append(topic, { searchParams: query }, rows, bytes) {
    const end = topic.records.length;
    if (bytes > callBytes || rows.some((row) => row.bytes > recordBytes)) {
      return [400, {}];
    }
    const at = query.get("at");
    if (at !== null && Number(at) !== end) return [412, { end }];
    const answer = { offset: end, end: end + rows.length };
    const name = query.get("producer");
    if (name !== null) {
      const epoch = Number(query.get("epoch"));
      const sequence = Number(query.get("sequence"));
      let known = topic.producers.get(name);
      if (known !== undefined && epoch < known.epoch) {
        return [409, { reason: "fenced" }];
      }
      if (known?.epoch === epoch) {
        const earlier = known.answers.get(sequence);
        if (earlier !== undefined) return [200, earlier];
        if (sequence !== known.sequence + 1) {
          return [409, { reason: "seq", sequence: known.sequence + 1 }];
        }
      } else known = { epoch, answers: new Map() };
      known.sequence = sequence;
      known.answers.set(sequence, answer);
      known.answers.delete(sequence - rememberedAppends);
      topic.producers.set(name, known);
    }
    this.#push(topic, rows);
    return [200, answer];
  }
}

async function read(topic, { searchParams: query }, response, isServed) {
  const from = Number(query.get("from"));
  const untilMs = performance.now() + Number(query.get("waitMs") ?? 0);
  const maxBytes = Number(query.get("maxKb") ?? 1_024) * 1_024;
  while (topic.records.length <= from && !response.destroyed) {
    const leftMs = untilMs - performance.now();
    if (leftMs <= 0) break;
    await new Promise((resolve) => {
      const wake = () => {
        topic.waiters.delete(wake);
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(wake, leftMs);
      topic.waiters.add(wake);
    });
  }
  // A machine that is turned away by now gets no answer.
  if (!isServed()) return;
  const header = Buffer.alloc(16);
  header.writeBigUInt64BE(BigInt(topic.records.length));
  const parts = [header];
  let bytes = 0;
  for (let at = from; at < topic.records.length; at++) {
    const record = encodeRow(topic.records[at]);
    bytes += record.length;
    if (at > from && bytes > maxBytes) break;
    parts.push(record);
  }
  response.end(Buffer.concat(parts));
}

function sendNewest(topic, { searchParams: query }, response) {
  const after = query.get("dependsOn") ?? "";
  const keys = sortedKeys(topic);
  const items = [];
  let bytes = 0;
  let at = firstAfter(keys, after);
  for (; at < keys.length && items.length < pageItems; at++) {
    const { key, value, offset } = topic.newest.get(keys[at]);
    const encoded = Buffer.from(value).toString("base64");
    bytes += encoded.length;
    if (items.length > 0 && bytes > pageBytes) break;
    items.push({ key, value: encoded, offset });
  }
  const hasMore = at < keys.length;
  sendJson(response, 200, { items, hasMore, end: topic.records.length });
}

function sortedKeys(topic) {
  if (topic.sortedAt !== topic.records.length) {
    topic.sortedAt = topic.records.length;
    topic.sorted = [...topic.newest.keys()].sort();
  }
  return topic.sorted;
}

function firstAfter(keys, after) {
  let low = 0;
  let high = keys.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (keys[middle] <= after) low = middle + 1;
    else high = middle;
  }
  return after === "" ? 0 : low;
}

function encodeRow({ key, value }) {
  const keyBytes = Buffer.from(key);
  const valueBytes = Buffer.from(value ?? "");
  const record = Buffer.alloc(5);
  record.writeUInt32BE(1 + keyBytes.length + valueBytes.length);
  record.writeUInt8(keyBytes.length, 4);
  return Buffer.concat([record, keyBytes, valueBytes]);
}

function decodeRows(body) {
  const rows = [];
  for (let at = 0; at + 4 <= body.length;) {
    const bytes = body.readUInt32BE(at);
    const record = body.subarray(at + 4, at + 4 + bytes);
    const keyBytes = record[0];
    const value = record.subarray(1 + keyBytes).toString();
    rows.push({
      key: record.subarray(1, 1 + keyBytes).toString(),
      value: value === "" ? undefined : value,
      bytes,
    });
    at += 4 + bytes;
  }
  return rows;
}

function sendJson(response, status, body) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
