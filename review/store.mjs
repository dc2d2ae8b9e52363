// A stand-in of the platform's store: a log over HTTP, as PROTOCOL.md says.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const recordBytes = 262_144;
const callBytes = 2_097_152;
const pageItems = 500;
const pageBytes = 1_000_000;
const answerMs = 4;
const rememberedAppends = 5;

/** Serves log-append, log-read and log-newest. */
export class Store {
  /** Topics whose partition is down: calls to it get 503 at once. */
  downTopics = new Set();
  /** Whether the whole store is down (503). */
  isDown = false;
  /** Called with the records of each append that was done. */
  onAppend = () => {};
  /** Called with the topic and size of each record that is too large. */
  onTooLarge = () => {};
  #topics = new Map();
  #server = createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  async listen(host, port) {
    await new Promise((done, fail) => {
      this.#server.once("error", fail);
      this.#server.listen(port, host, done);
    });
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** What the operator writes: one record of a keyed topic. */
  put(topic, key, value) {
    const keyBytes = Buffer.from(key);
    const record = Buffer.concat([
      Buffer.from([keyBytes.length]),
      keyBytes,
      Buffer.from(value ?? ""),
    ]);
    return this.#add(this.#topic(topic), [record]);
  }

  /** The newest records of a keyed topic, by key. */
  newest(topic) {
    return this.#topic(topic).newest;
  }

  #topic(name) {
    const known = this.#topics.get(name);
    if (known !== undefined) return known;
    const topic = {
      name,
      records: [],
      newest: new Map(),
      producers: new Map(),
      waiters: new Set(),
    };
    this.#topics.set(name, topic);
    return topic;
  }

  #add(topic, records) {
    const offset = topic.records.length;
    for (const record of records) {
      const keyEnd = 1 + record[0];
      const key = record.toString("utf8", 1, keyEnd);
      const value = record.subarray(keyEnd);
      if (value.length === 0) {
        topic.newest.delete(key);
        topic.sorted = undefined;
      } else {
        topic.newest.set(key, { key, value, offset: topic.records.length });
      }
      topic.records.push(record);
    }
    for (const wake of [...topic.waiters]) wake();
    this.onAppend(topic.name, records);
    return { offset, end: topic.records.length };
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const url = new URL(request.url, "http://store");
    const name = url.searchParams.get("topic") ?? "";
    await sleep(answerMs);
    if (this.isDown || this.downTopics.has(name)) {
      return send(response, 503, {});
    }
    const topic = this.#topic(name);
    if (url.pathname === "/v1/log-append") {
      return this.#append(topic, url.searchParams, body, response);
    }
    if (url.pathname === "/v1/log-read") {
      return await this.#read(topic, url.searchParams, response);
    }
    if (url.pathname === "/v1/log-newest") {
      return this.#newest(topic, url.searchParams, response);
    }
    send(response, 404, {});
  }

  #append(topic, query, body, response) {
    const records = split(body);
    if (records === undefined) return send(response, 400, {});
    const largest = Math.max(0, ...records.map(({ length }) => length));
    if (largest > recordBytes || body.length > callBytes) {
      this.onTooLarge(topic.name, largest);
      return send(response, 400, { error: "too large" });
    }
    const end = topic.records.length;
    const at = query.get("at");
    if (at !== null && Number(at) !== end) {
      return send(response, 412, { end });
    }
    const producer = query.get("producer");
    if (producer === null) {
      return send(response, 200, this.#add(topic, records));
    }
    const epoch = Number(query.get("epoch"));
    const sequence = Number(query.get("sequence"));
    const known = topic.producers.get(producer);
    if (known !== undefined && epoch < known.epoch) {
      return send(response, 409, { reason: "fenced" });
    }
    const isSame = known !== undefined && known.epoch === epoch;
    if (isSame) {
      const answer = known.answers.get(sequence);
      if (answer !== undefined) return send(response, 200, answer);
      if (sequence !== known.sequence + 1) {
        const expected = known.sequence + 1;
        return send(response, 409, { reason: "seq", sequence: expected });
      }
    }
    const answer = this.#add(topic, records);
    const answers = isSame ? known.answers : new Map();
    answers.set(sequence, answer);
    answers.delete(sequence - rememberedAppends);
    topic.producers.set(producer, { epoch, sequence, answers });
    send(response, 200, answer);
  }

  async #read(topic, query, response) {
    const from = Number(query.get("from"));
    const maxBytes = Number(query.get("maxKb") ?? 1_024) * 1_024;
    const untilMs = performance.now() + Number(query.get("waitMs") ?? 0);
    while (topic.records.length <= from) {
      const leftMs = untilMs - performance.now();
      if (leftMs <= 0 || response.destroyed) break;
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          topic.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        topic.waiters.add(wake);
      });
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(topic.records.length));
    const parts = [head];
    let bytes = 0;
    for (let offset = from; offset < topic.records.length; offset++) {
      const record = topic.records[offset];
      bytes += record.length + 4;
      if (bytes > maxBytes && parts.length > 1) break;
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      parts.push(length, record);
    }
    response.writeHead(200, { "content-type": "application/octet-stream" });
    response.end(Buffer.concat(parts));
  }

  #newest(topic, query, response) {
    const after = query.get("dependsOn") ?? "";
    if (topic.sorted?.length !== topic.newest.size) {
      topic.sorted = [...topic.newest.keys()].sort();
    }
    const first = indexAfter(topic.sorted, after);
    const keys = topic.sorted.slice(first, first + pageItems + 1);
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      const { value, offset } = topic.newest.get(key);
      bytes += value.length;
      if (items.length === pageItems) break;
      if (items.length > 0 && bytes > pageBytes) break;
      items.push({ key, value: value.toString("base64"), offset });
    }
    const hasMore = items.length < keys.length;
    send(response, 200, { items, hasMore, end: topic.records.length });
  }
}

/** The index of the first of the sorted keys that is greater than a key. */
function indexAfter(sorted, key) {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (sorted[middle] > key) high = middle;
    else low = middle + 1;
  }
  return low;
}

function split(body) {
  const records = [];
  let position = 0;
  while (position < body.length) {
    if (position + 4 > body.length) return undefined;
    const length = body.readUInt32BE(position);
    const record = body.subarray(position + 4, position + 4 + length);
    if (record.length < length || length === 0) return undefined;
    records.push(record);
    position += 4 + length;
  }
  return records;
}

function send(response, status, body) {
  if (response.destroyed) return;
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
