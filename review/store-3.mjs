// A stand-in of the platform's store: a log of keyed topics, as PROTOCOL.md says.
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const answerMs = 4;
const mostStoredBytes = 400_000_000;
const pageItems = 500;
const pageBytes = 1_000_000;
const rememberedAppends = 5;

class Topic {
  constructor() {
    /** The records that are kept, from the offset `first` on. */
    this.records = [];
    this.first = 0;
    /** The newest record of each key. */
    this.newest = new Map();
    this.producers = new Map();
    this.waiters = new Set();
  }

  get end() {
    return this.first + this.records.length;
  }
}

/** Keeps all in memory; loses nothing that it has acknowledged. */
export class Store {
  constructor(ip, port) {
    this.ip = ip;
    this.port = port;
    this.topics = new Map();
    this.storedBytes = 0;
    this.calls = 0;
    this.fullAnswers = 0;
    /** Called for each append that is stored. */
    this.onAppend = () => {};
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async listen() {
    await new Promise((done, fail) => {
      this.server.once("error", fail);
      this.server.listen(this.port, this.ip, done);
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  topic(name) {
    let topic = this.topics.get(name);
    if (topic === undefined) {
      topic = new Topic();
      this.topics.set(name, topic);
    }
    return topic;
  }

  /** The newest value of a key. */
  newest(name, key) {
    return this.topic(name).newest.get(key)?.value?.toString();
  }

  /** Appends a record as the operator, or as an earlier append left it. */
  put(name, key, value) {
    this.#store(this.topic(name), [encode(key, value)]);
  }

  /** Deletes all records, but the newest one of each key is retained. */
  expire(name) {
    const topic = this.topic(name);
    topic.first = topic.end;
    topic.records = [];
  }

  #store(topic, records) {
    const offset = topic.end;
    for (const record of records) {
      const keyEnd = 1 + record.readUInt8(0);
      const key = record.toString("utf8", 1, keyEnd);
      const value = record.subarray(keyEnd);
      const at = topic.end;
      topic.records.push(record);
      this.storedBytes += record.length;
      if (value.length === 0) topic.newest.delete(key);
      else topic.newest.set(key, { value, offset: at });
    }
    for (const wake of topic.waiters) wake();
    return { offset, end: topic.end };
  }

  async #handle(request, response) {
    const url = new URL(request.url, "http://store");
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    this.calls += 1;
    await sleep(answerMs);
    const name = url.searchParams.get("topic") ?? "";
    switch (url.pathname) {
      case "/v1/log-append":
        return this.#append(url, name, Buffer.concat(chunks), response);
      case "/v1/log-read":
        return await this.#read(url, name, response);
      case "/v1/log-newest":
        return this.#newestPage(url, name, response);
      default:
        return send(response, 404, {});
    }
  }

  #append(url, name, body, response) {
    const topic = this.topic(name);
    const query = url.searchParams;
    if (this.storedBytes + body.length > mostStoredBytes) {
      this.fullAnswers += 1;
      return send(response, 507, {});
    }
    const at = query.get("at");
    if (at !== null && Number(at) !== topic.end) {
      return send(response, 412, { end: topic.end });
    }
    const producer = query.get("producer");
    const records = split(body);
    if (producer === null) {
      const answer = this.#store(topic, records);
      this.onAppend(name, records);
      return send(response, 200, answer);
    }
    const epoch = Number(query.get("epoch"));
    const sequence = Number(query.get("sequence"));
    let known = topic.producers.get(producer);
    if (known !== undefined && epoch < known.epoch) {
      return send(response, 409, { reason: "fenced" });
    }
    if (known?.epoch === epoch) {
      const earlier = known.answers.get(sequence);
      if (earlier !== undefined) return send(response, 200, earlier);
      if (sequence !== known.sequence + 1) {
        return send(response, 409, {
          reason: "seq",
          sequence: known.sequence + 1,
        });
      }
    } else known = { epoch, sequence: 0, answers: new Map() };
    const answer = this.#store(topic, records);
    known.sequence = sequence;
    known.answers.set(sequence, answer);
    known.answers.delete(sequence - rememberedAppends);
    topic.producers.set(producer, known);
    this.onAppend(name, records);
    return send(response, 200, answer);
  }

  async #read(url, name, response) {
    const topic = this.topic(name);
    const from = Number(url.searchParams.get("from"));
    const maxBytes = Number(url.searchParams.get("maxKb") ?? 1_024) * 1_024;
    const untilMs = performance.now() +
      Number(url.searchParams.get("waitMs") ?? 0);
    while (from >= topic.end && performance.now() < untilMs) {
      if (response.destroyed) return;
      await this.#waitForRecord(topic, untilMs - performance.now());
    }
    if (from < topic.first) {
      return send(response, 410, { first: topic.first });
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(topic.end), 0);
    header.writeBigUInt64BE(BigInt(topic.first), 8);
    const parts = [header];
    let bytes = 0;
    for (let offset = from; offset < topic.end; offset++) {
      const record = topic.records[offset - topic.first];
      if (bytes > 0 && bytes + record.length > maxBytes) break;
      bytes += record.length;
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      parts.push(length, record);
    }
    response.end(Buffer.concat(parts));
  }

  #newestPage(url, name, response) {
    const topic = this.topic(name);
    const after = url.searchParams.get("dependsOn");
    const items = [];
    let bytes = 0;
    let isPast = after === null;
    let hasMore = false;
    for (const [key, { value, offset }] of topic.newest) {
      if (!isPast) {
        isPast = key === after;
        continue;
      }
      if (items.length >= pageItems || bytes + value.length > pageBytes) {
        hasMore = true;
        break;
      }
      bytes += value.length;
      items.push({ key, value: value.toString("base64"), offset });
    }
    send(response, 200, { items, hasMore, end: topic.end });
  }

  #waitForRecord(topic, withinMs) {
    return new Promise((done) => {
      const wake = () => {
        clearTimeout(timer);
        topic.waiters.delete(wake);
        done();
      };
      const timer = setTimeout(wake, withinMs);
      topic.waiters.add(wake);
    });
  }
}

function encode(key, value) {
  const keyBytes = Buffer.from(key);
  return Buffer.concat([
    Buffer.from([keyBytes.length]),
    keyBytes,
    Buffer.from(value),
  ]);
}

function split(body) {
  const records = [];
  for (let at = 0; at + 4 <= body.length;) {
    const length = body.readUInt32BE(at);
    records.push(Buffer.from(body.subarray(at + 4, at + 4 + length)));
    at += 4 + length;
  }
  return records;
}

function send(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  }).end(text);
}
