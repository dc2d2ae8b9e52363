// A stand-in of a runner, as PROTOCOL.md describes one whose orders are `rpc`.
import { createServer } from "node:http";
import { Buffer } from "node:buffer";

const heartbeatMs = 1_100;
const endsPerAnswer = 500;
const maxHoldMs = 6_000;
const checkpointMs = 500;
const observeMs = 5;
const clockOriginMs = 100_000;

/**
 * Runs tasks. The spec of a task is JSON: `ms` is how long it works; without it
 * the task lasts. `onEvent(kind, fields)` is called at each start and end.
 */
export class Runner {
  running = new Map();
  #ends = [];
  #endCount = 0;
  /** The highest run of each task that was stopped here or has ended. */
  #spent = new Map();
  #token = 0;
  #leaseEndMs = 0;
  #hasLease = false;
  #sequence = 0;
  #waiters = new Set();
  #server;

  constructor(options, onEvent) {
    this.options = options;
    this.onEvent = onEvent;
    this.#beginLife();
  }

  get name() {
    return this.options.id;
  }

  get clockMs() {
    return Math.floor(performance.now() - this.#lifeBeganMs + clockOriginMs);
  }

  #lifeBeganMs = 0;

  #beginLife() {
    this.born = Date.now();
    this.#lifeBeganMs = performance.now();
    this.running.clear();
    this.#ends = [];
    this.#endCount = 0;
    this.#spent.clear();
    this.#token = 0;
    this.#leaseEndMs = 0;
    this.#sequence = 0;
  }

  async listen() {
    const { host, port } = this.options;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((done, fail) => {
      this.#server.once("error", fail);
      this.#server.listen(port, host, done);
    });
    setInterval(() => this.#observe(), observeMs);
    setInterval(() => void this.#beat(), heartbeatMs);
    void this.#beat();
  }

  async #beat() {
    const { id, host, port, control, zone, capacity, labels } = this.options;
    this.#sequence += 1;
    try {
      const url = `http://${control}/v1/instances/${id}/heartbeat`;
      await fetch(url, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({
          service: this.options.service,
          address: `${host}:${port}`,
          zone,
          version: "v1",
          slots: 8,
          state: "ready",
          coldRemainingMs: 0,
          capacity,
          labels,
          clockMs: this.clockMs,
          sequence: this.#sequence,
          born: this.born,
        }),
        signal: AbortSignal.timeout(1_000),
      });
    } catch {
      // The next one comes soon.
    }
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const expected = request.headers["expected-instance"];
    if (expected !== undefined && expected !== this.name) {
      return this.#send(response, 421, {});
    }
    const call = JSON.parse(Buffer.concat(chunks).toString());
    const token = call.fencingToken ?? 0;
    if (token < this.#token) return this.#refuse(response, "fence");
    this.#token = token;
    this.#observe();
    switch (request.url) {
      case "/v1/run-start":
        return this.#start(call, response);
      case "/v1/run-stop":
        return this.#stop(call, response);
      case "/v1/hold":
        return await this.#hold(call, response);
      case "/v1/pace":
        return this.#send(response, 200, {});
    }
    this.#send(response, 404, {});
  }

  #extend(deadlineMs) {
    if (deadlineMs === undefined) return;
    const most = this.clockMs + maxHoldMs;
    const until = Math.min(deadlineMs, most);
    this.#leaseEndMs = Math.max(this.#leaseEndMs, until);
  }

  #start({ task, run, spec, deadlineMs, checkpoint }, response) {
    const known = this.running.get(task);
    if (deadlineMs <= this.clockMs) return this.#refuse(response, "late");
    this.#extend(deadlineMs);
    if (known?.run === run) return this.#send(response, 200, {});
    const isSpent = run <= (this.#spent.get(task) ?? 0);
    if (isSpent || known !== undefined) return this.#refuse(response, "old");
    const { ms } = JSON.parse(spec);
    this.running.set(task, { task, run, ms, sinceMs: performance.now() });
    this.onEvent("start", { runner: this.name, task, run, spec, checkpoint });
    this.#send(response, 200, {});
  }

  #stop({ task, run }, response) {
    this.#spent.set(task, Math.max(run, this.#spent.get(task) ?? 0));
    const known = this.running.get(task);
    if (known !== undefined && known.run <= run) this.#end(known, "stopped");
    this.#send(response, 200, {});
  }

  async #hold({ deadlineMs, lastSeen, waitMs }, response) {
    this.#extend(deadlineMs);
    if (lastSeen > 0 && this.#ends.some(([number]) => number <= lastSeen)) {
      this.#ends = this.#ends.filter(([number]) => number > lastSeen);
      this.onEvent("noted", { runner: this.name, lastSeen });
    }
    if (this.#ends.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.min(waitMs, 2_000));
        this.#waiters.add(wake);
      });
    }
    const running = [...this.running.values()].map((each) => [
      each.task,
      each.run,
      savedOf(each),
      percentOf(each),
      0,
    ]);
    const ended = this.#ends.slice(0, endsPerAnswer);
    this.#send(response, 200, { running, ended });
  }

  #observe() {
    const nowMs = performance.now();
    const hasLapsed = this.clockMs >= this.#leaseEndMs;
    if (hasLapsed && this.#hasLease) {
      this.onEvent("lease over", { runner: this.name });
    }
    this.#hasLease = !hasLapsed;
    for (const each of [...this.running.values()]) {
      if (hasLapsed) this.#end(each, "lapsed");
      else if (each.ms !== undefined && nowMs - each.sinceMs >= each.ms) {
        this.#end(each, "done");
      }
    }
  }

  #end(each, how) {
    const { task, run } = each;
    this.running.delete(task);
    this.#spent.set(task, Math.max(run, this.#spent.get(task) ?? 0));
    this.#endCount += 1;
    this.#ends.push([this.#endCount, task, run, how, savedOf(each)]);
    const number = this.#endCount;
    this.onEvent("end", { runner: this.name, task, run, how, number });
    for (const wake of [...this.#waiters]) wake();
  }

  #refuse(response, reason) {
    this.#send(response, 409, { reason });
  }

  #send(response, status, body) {
    response.writeHead(status, { "content-type": "application/json" });
    const { clockMs, born } = this;
    response.end(JSON.stringify({ clockMs, born, ...body }));
  }
}

function savedOf({ ms, sinceMs }) {
  if (ms === undefined) return "";
  const saves = Math.floor((performance.now() - sinceMs) / checkpointMs);
  return saves === 0 ? "" : `saved-${saves}`;
}

function percentOf({ ms, sinceMs }) {
  if (ms === undefined) return 100;
  const share = (performance.now() - sinceMs) / ms;
  return Math.min(99, Math.floor(share * 100));
}
