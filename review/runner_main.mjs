// A stand-in of a runner: runs tasks, holds leases and lists ends, as
// PROTOCOL.md says. The spec of a job tells it what its tasks do:
// {"ms": work in ms, "end": "done" or "failed", "figure": the fifth entry of
// its row, "crashMs": when the task crashes the runner}; without "ms" they last.
// A process is one life; it tells its parent what it sees.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import process from "node:process";

const heartbeatMs = 1_100;
const maxHoldMs = 6_000;
const stopMs = 100;
const observeMs = 20;
const maxEnds = 500;

/** One life of a runner. */
class Runner {
  #waiters = new Set();

  constructor(options) {
    this.options = options;
    this.id = `i-${options.name}`;
    this.born = Date.now();
    this.startedAtMs = performance.now() - 1;
    this.sequence = 0;
    this.token = 0;
    this.leaseEndMs = 0;
    this.running = new Map();
    this.highestRuns = new Map();
    this.ends = [];
    this.endNumber = 0;
    this.state = "ready";
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
  }

  get clockMs() {
    return Math.floor(performance.now() - this.startedAtMs);
  }

  async start() {
    const { host, port } = this.options;
    await new Promise((done, fail) => {
      this.server.once("error", fail);
      this.server.listen(port, host, done);
    });
    setInterval(() => void this.heartbeat(), heartbeatMs);
    setInterval(() => this.#observe(), observeMs);
    await this.heartbeat();
  }

  async heartbeat() {
    this.sequence += 1;
    const { service, host, port, control, zone, cpu, memMb, rack } =
      this.options;
    const body = {
      service,
      address: `${host}:${port}`,
      zone,
      version: "v1",
      slots: 8,
      state: this.state,
      coldRemainingMs: 0,
      capacity: { cpu, memMb, gpu: 0 },
      labels: ["a", rack],
      clockMs: this.clockMs,
      sequence: this.sequence,
      born: this.born,
    };
    const path = `/v1/instances/${this.id}/heartbeat`;
    try {
      const answer = await fetch(`http://${control}${path}`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(1_000),
      });
      return answer.status;
    } catch {
      return undefined;
    }
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const expected = request.headers["expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      return this.#answer(response, 421, {});
    }
    const body = JSON.parse(Buffer.concat(chunks).toString("utf8"));
    const token = body.fencingToken ?? 0;
    if (token < this.token) {
      return this.#answer(response, 409, { reason: "fence" });
    }
    this.token = token;
    this.#observe();
    if (request.url === "/v1/run-start") return this.#start(body, response);
    if (request.url === "/v1/run-stop") return this.#stop(body, response);
    if (request.url === "/v1/pace") return this.#answer(response, 200, {});
    if (request.url !== "/v1/hold") return this.#answer(response, 404, {});
    this.#extend(body.deadlineMs);
    this.#forget(body.lastSeen ?? 0);
    if (this.ends.length === 0 && body.waitMs > 0) {
      await this.#waitForEnd(body.waitMs);
    }
    const running = [...this.running.values()].map((run) => [
      run.task,
      run.run,
      "",
      this.#percentOf(run),
      run.figure,
    ]);
    this.#answer(response, 200, {
      running,
      ended: this.ends.slice(0, maxEnds),
    });
  }

  #start(body, response) {
    const { task, run } = body;
    const known = this.running.get(task);
    if (known?.run === run) return this.#answer(response, 200, {});
    this.#extend(body.deadlineMs);
    if (run <= (this.highestRuns.get(task) ?? 0)) {
      return this.#answer(response, 409, { reason: "old" });
    }
    if (this.leaseEndMs <= this.clockMs) {
      return this.#answer(response, 409, { reason: "late" });
    }
    const { ms = Infinity, end = "done", figure = 0 } = JSON.parse(body.spec);
    const item = { task, run, began: performance.now(), ms, end, figure };
    const { crashMs } = JSON.parse(body.spec);
    if (crashMs !== undefined) {
      setTimeout(() => process.kill(process.pid, "SIGKILL"), crashMs);
    }
    this.running.set(task, item);
    this.#tell("start", item, body.checkpoint ?? "");
    this.#answer(response, 200, {});
  }

  #stop({ task, run }, response) {
    const highest = this.highestRuns.get(task) ?? 0;
    this.highestRuns.set(task, Math.max(highest, run));
    const item = this.running.get(task);
    if (item?.run === run && !item.isStopping) {
      item.isStopping = true;
      setTimeout(() => {
        if (this.running.get(task) === item) this.#end(item, "stopped");
      }, stopMs);
    }
    this.#answer(response, 200, {});
  }

  #extend(deadlineMs) {
    if (typeof deadlineMs !== "number") return;
    const end = Math.min(deadlineMs, this.clockMs + maxHoldMs);
    this.leaseEndMs = Math.max(this.leaseEndMs, end);
  }

  #forget(lastSeen) {
    const noted = this.ends.filter(([number]) => number <= lastSeen);
    this.ends = this.ends.filter(([number]) => number > lastSeen);
    for (const [, task, run, how] of noted) {
      this.#tell("noted", { task, run }, how);
    }
  }

  #percentOf({ began, ms }) {
    if (ms === Infinity) return 100;
    return Math.min(99, Math.floor(100 * (performance.now() - began) / ms));
  }

  #observe() {
    for (const item of [...this.running.values()]) {
      if (this.leaseEndMs <= this.clockMs) this.#end(item, "lapsed");
      else if (performance.now() - item.began >= item.ms) {
        this.#end(item, item.end);
      }
    }
  }

  #end(item, how) {
    const { task, run } = item;
    this.running.delete(task);
    const highest = this.highestRuns.get(task) ?? 0;
    this.highestRuns.set(task, Math.max(highest, run));
    this.endNumber += 1;
    this.ends.push([this.endNumber, task, run, how, ""]);
    this.#tell("end", item, how);
    for (const wake of [...this.#waiters]) wake();
  }

  #waitForEnd(waitMs) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.#waiters.add(wake);
    });
  }

  #tell(kind, { task, run }, detail) {
    process.send({ kind, task, run, detail });
  }

  #answer(response, status, body) {
    if (response.destroyed) return;
    response.writeHead(status, { "content-type": "application/json" });
    const { clockMs, born } = this;
    response.end(JSON.stringify({ clockMs, born, ...body }));
  }
}

const runner = new Runner(JSON.parse(process.argv[2]));
process.on("disconnect", () => process.exit(0));
await runner.start();
process.send({ kind: "up" });
