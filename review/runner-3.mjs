// A stand-in of a runner, as PROTOCOL.md says. The spec of a job is JSON: `ms` is
// how long each of its tasks works, `lasts` means that it works until stopped.
import { createServer, request as httpRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const heartbeatMs = 1_100;
const answerMs = 1;
const checkMs = 10;
const stopMs = 50;

/** A runner: one address, and one life after the other. */
export class Runner {
  #born = 0;
  #bornAtMs = 0;
  #sequence = 0;
  #endNumber = 0;
  #leaseEndMs = 0;
  #fence = 0;
  #highestEnded = new Map();
  #waiters = new Set();
  #timers = [];
  #isClosed = false;

  constructor(options) {
    Object.assign(this, options);
    this.instance = `i-${this.name}`;
    this.isUp = false;
    this.running = new Map();
    this.ends = [];
    /** All starts that were carried out: task, run, spec, runner, time. */
    this.starts = [];
    this.endsSeen = [];
    this.refusals = 0;
    /** Called when a task has begun. */
    this.onStarted = () => {};
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  /** Its own steady clock. */
  get clockMs() {
    return Math.floor(performance.now() - this.#bornAtMs);
  }

  async listen() {
    await this.#begin();
    this.#timers.push(
      setInterval(() => void this.#beat(), heartbeatMs),
      setInterval(() => this.#advance(), checkMs),
    );
  }

  async #begin() {
    this.#born = Date.now();
    this.#bornAtMs = performance.now();
    this.#sequence = 0;
    this.#endNumber = 0;
    this.#leaseEndMs = 0;
    this.#fence = 0;
    this.#highestEnded = new Map();
    this.running = new Map();
    this.ends = [];
    await new Promise((done, fail) => {
      this.server.once("error", fail);
      this.server.listen(this.port, this.ip, () => {
        this.server.off("error", fail);
        done();
      });
    });
    this.isUp = true;
    this.note(`${this.name} begins a life, born ${this.#born}`);
    await this.#beat();
  }

  /** Crashes; it is back under its id after a time, if one is given. */
  crash(downMs) {
    if (!this.isUp) return;
    const names = [...this.running.values()].map(({ task, run }) =>
      `${task}#${run}`
    );
    this.note(`${this.name} CRASHES with ${names.join(" ") || "no runs"}`);
    this.isUp = false;
    this.running.clear();
    for (const wake of this.#waiters) wake();
    this.server.close();
    this.server.closeAllConnections();
    if (downMs === undefined) return;
    setTimeout(() => {
      if (!this.#isClosed) void this.#begin();
    }, downMs);
  }

  close() {
    this.#isClosed = true;
    for (const timer of this.#timers) clearInterval(timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  #advance() {
    if (!this.isUp) return;
    if (this.clockMs >= this.#leaseEndMs) {
      for (const run of [...this.running.values()]) this.#end(run, "lapsed");
    }
    const nowMs = performance.now();
    for (const run of [...this.running.values()]) {
      if (run.stopAtMs !== undefined && nowMs >= run.stopAtMs) {
        this.#end(run, "stopped");
      } else if (!run.lasts && nowMs >= run.startedAtMs + run.ms) {
        this.#end(run, "done");
      }
    }
  }

  #end(run, how) {
    this.running.delete(run.task);
    this.#noteEnded(run.task, run.run);
    this.#endNumber += 1;
    this.ends.push([this.#endNumber, run.task, run.run, how, ""]);
    this.endsSeen.push({ task: run.task, run: run.run, how });
    this.note(`${this.name}: run ${run.task}#${run.run} ends ${how}`);
    for (const wake of this.#waiters) wake();
  }

  #noteEnded(task, run) {
    const known = this.#highestEnded.get(task) ?? 0;
    this.#highestEnded.set(task, Math.max(known, run));
  }

  #extend(deadlineMs) {
    if (typeof deadlineMs !== "number") return;
    const endMs = Math.min(deadlineMs, this.clockMs + this.maxHoldMs);
    this.#leaseEndMs = Math.max(this.#leaseEndMs, endMs);
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    await sleep(answerMs);
    if (!this.isUp) return response.destroy();
    const answer = (status, fields) => {
      const text = JSON.stringify({
        clockMs: this.clockMs,
        born: this.#born,
        ...fields,
      });
      response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
      }).end(text);
    };
    if (request.headers["expected-instance"] !== this.instance) {
      return answer(421, {});
    }
    const born = this.#born;
    const body = JSON.parse(Buffer.concat(chunks).toString());
    const token = body.fencingToken ?? 0;
    if (token < this.#fence) return answer(409, { reason: "fence" });
    this.#fence = token;
    this.#advance();
    switch (request.url) {
      case "/v1/run-start": {
        const refusal = this.#start(body);
        if (refusal === undefined) return answer(200, {});
        this.refusals += 1;
        return answer(409, { reason: refusal });
      }
      case "/v1/run-stop": {
        this.#noteEnded(body.task, body.run);
        const run = this.running.get(body.task);
        if (run?.run === body.run) {
          run.stopAtMs ??= performance.now() + stopMs;
        }
        return answer(200, {});
      }
      case "/v1/pace":
        return answer(200, {});
      case "/v1/hold": {
        this.ends = this.ends.filter(([number]) => number > body.lastSeen);
        this.#extend(body.deadlineMs);
        if (this.ends.length === 0 && body.waitMs > 0) {
          await this.#waitForEnd(body.waitMs);
        }
        if (!this.isUp || born !== this.#born) return response.destroy();
        const nowMs = performance.now();
        return answer(200, {
          running: [...this.running.values()].map((run) => [
            run.task,
            run.run,
            "",
            percentOf(run, nowMs),
            0,
          ]),
          ended: this.ends.slice(0, 500),
        });
      }
      default:
        return answer(404, {});
    }
  }

  #start({ task, run, spec, deadlineMs }) {
    if (deadlineMs <= this.clockMs) return "late";
    this.#extend(deadlineMs);
    const known = this.running.get(task);
    if (known?.run === run) return undefined;
    const highest = Math.max(
      this.#highestEnded.get(task) ?? 0,
      known?.run ?? 0,
    );
    if (run <= highest) return "old";
    const { ms = 0, lasts = false } = JSON.parse(spec);
    const startedAtMs = performance.now();
    const started = { task, run, ms, lasts, startedAtMs, spec };
    this.running.set(task, started);
    this.starts.push(started);
    this.note(`${this.name}: run ${task}#${run} begins`);
    this.onStarted(started);
    return undefined;
  }

  #waitForEnd(withinMs) {
    return new Promise((done) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        done();
      };
      const timer = setTimeout(wake, withinMs);
      this.#waiters.add(wake);
    });
  }

  async #beat() {
    if (!this.isUp) return;
    this.#sequence += 1;
    const text = JSON.stringify({
      service: this.service,
      address: `${this.ip}:${this.port}`,
      zone: "ikeja",
      version: "v1",
      slots: 8,
      state: "ready",
      coldRemainingMs: 0,
      capacity: { cpu: this.cpu, memMb: 64_000, gpu: 0 },
      labels: this.labels,
      clockMs: this.clockMs,
      sequence: this.#sequence,
      born: this.#born,
    });
    await post(this.control, `/v1/instances/${this.instance}/heartbeat`, text);
  }
}

function percentOf({ lasts, ms, startedAtMs }, nowMs) {
  if (lasts) return 100;
  return Math.min(
    99,
    Math.floor(100 * (nowMs - startedAtMs) / Math.max(1, ms)),
  );
}

function post(address, path, text) {
  const [host, port] = address.split(":");
  return new Promise((done) => {
    const request = httpRequest({
      host,
      port,
      path,
      method: "POST",
      agent: false,
      headers: {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
      },
    }, (response) => {
      response.resume();
      response.on("end", done);
      response.on("error", done);
    });
    request.setTimeout(1_000, () => request.destroy());
    request.on("error", done);
    request.end(text);
  });
}
