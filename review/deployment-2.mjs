// A small deployment on loopback: the project's own programs, started with the
// commands of the deploy file, beside stand-ins of the store and the runners.
import { Buffer } from "node:buffer";
import { fork, spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import { appendFileSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { createWriteStream, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Store } from "./store-2.mjs";

const here = dirname(fileURLToPath(import.meta.url));
const root = join(here, "..");
const ports = {
  store: 7_310,
  front: 7_311,
  ready: 7_312,
  control: 7_313,
  app: 7_314,
  peers: 7_315,
};
const restartMs = 500;
export const host = "desk.example";
export const prefix = "/plans/";
const service = "desk";

/** The command of a role, from the deploy file. */
function commandOf(role) {
  const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1];
  return /^run = "(.*)"$/m.exec(section)[1].split(" ");
}

/** A runner in a process of its own, with what runs on it. */
class RunnerProcess {
  running = new Map();
  #child;

  constructor(options, onEvent) {
    this.options = options;
    this.onEvent = onEvent;
  }

  get name() {
    return this.options.id;
  }

  async listen() {
    this.#child = fork(join(here, "runner_main-2.mjs"));
    await new Promise((done, fail) => {
      this.#child.once("exit", () => fail(new Error("a runner has ended")));
      this.#child.on("message", ({ kind, atMs, data }) => {
        if (kind === "listening") return done();
        if (kind === "start") this.running.set(data.task, data.run);
        if (kind === "end") this.running.delete(data.task);
        this.onEvent(kind, atMs, data);
      });
      this.#child.send(this.options);
    });
  }

  /** Kills it for good, with all that runs on it. */
  async close() {
    this.running.clear();
    const child = this.#child;
    if (child === undefined || child.killed) return;
    const ended = new Promise((done) => child.once("exit", done));
    child.kill("SIGKILL");
    await ended;
  }
}

export class Deployment {
  store = new Store();
  runners = [];
  processes = [];
  /** What runners have seen, in order. */
  events = [];
  #recordPath;
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #beganMs = performance.now();
  /** The same moment on the clock that the runners' processes share. */
  #beganAtMs = performance.timeOrigin + this.#beganMs;
  #subnet = `127.${20 + (randomBytes(1)[0] % 200)}.${randomBytes(1)[0]}`;
  #agents = new Map();
  #isClosed = false;

  constructor({ recordPath, entries = 2, sidecars = 3, cpu = 16_000, cpus }) {
    this.#recordPath = recordPath;
    writeFileSync(recordPath, "");
    this.counts = { entries, sidecars };
    for (let index = 0; index < entries; index++) this.#addEntry(index);
    for (let index = 0; index < sidecars; index++) {
      this.#addSidecar(index, cpus?.[index] ?? cpu);
    }
  }

  get seconds() {
    return (performance.now() - this.#beganMs) / 1_000;
  }

  record(text) {
    appendFileSync(
      this.#recordPath,
      `${this.seconds.toFixed(3).padStart(8)} ${text}\n`,
    );
  }

  process(node) {
    return this.processes.find((each) => each.node === node);
  }

  /** Writes the configuration, and starts stand-ins and programs. */
  async start({ maxAttempts = 3 } = {}) {
    this.store.put("keyed.op", [{
      key: "config",
      value: JSON.stringify({
        version: 3,
        routes: [{
          name: "plans",
          host,
          pathPrefix: prefix,
          service,
          priority: 1,
          maxAttempts,
          stretch: 2,
          targetCompletionMs: 1_000,
        }],
        services: [{ name: service }],
        limits: {
          maxBodyBytes: 262_144,
          headerTimeoutMs: 3_000,
          idleTimeoutMs: 15_000,
        },
      }),
    }]);
    for (const [index, each] of this.processes.entries()) {
      each.storeHost = `${this.#subnet}.${100 + index}`;
      await this.store.listen(each.storeHost, ports.store, each.node);
    }
    for (const each of this.processes) this.startProcess(each);
    for (const runner of this.runners) await runner.listen();
  }

  startProcess(each) {
    if (this.#isClosed) return;
    const path = join(this.#folder, `${each.node}.conf`);
    const settings = {
      node: each.node,
      role: each.role,
      machineClass: each.role === "entry" ? "front" : "side",
      ip: each.ip,
      zone: each.zone,
      region: "west",
      internalPorts: `${ports.peers},${ports.peers + 15}`,
      bootstrap: "true",
      "limits.cpuShare": 0.675,
      "limits.cores": 1,
      "limits.memoryMb": each.role === "entry" ? 350 : 218,
      "limits.maxFds": 4_100,
      "limits.linkMbps": "1000.0",
      heartbeatMs: 1_100,
      "bounds.stabilityWindowMs": 3_000,
      "bounds.graceS": 6,
      "bounds.maxHoldMs": 6_000,
      "bounds.stopMs": 200,
      "bounds.cancel_ms": 3_000,
      "bounds.visible_ms": 3_000,
      orders: "rpc",
      "platform.address": `${each.storeHost}:${ports.store}`,
      "platform.form": "log",
      "platform.parts": 16,
      "platform.recordBytes": 262_144,
      "platform.callBytes": 2_097_152,
      ...each.settings,
    };
    const lines = Object.entries(settings).map(([k, v]) => `${k}=${v}`);
    writeFileSync(path, lines.join("\n") + "\n");
    const [program, ...words] = commandOf(each.role);
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(
      program === "node" ? process.execPath : program,
      words,
      {
        cwd: root,
        env: { PATH, HOME, LANG, GYPSUMPOND_BOOT: path },
        stdio: ["ignore", "pipe", "pipe"],
      },
    );
    each.child = child;
    const log = createWriteStream(join(this.#folder, `${each.node}.txt`), {
      flags: "a",
    });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once("exit", (code, signal) => {
      each.child = undefined;
      if (this.#isClosed) return;
      if (!each.isKilled) {
        each.ownEnds += 1;
        this.record(`${each.node} ended by itself (${code ?? signal})`);
      }
      if (each.staysDown) return;
      setTimeout(() => this.startProcess(each), restartMs);
    });
    each.isKilled = false;
  }

  /** Takes a machine away for good: its process, and its runner if it has one. */
  async remove(node) {
    const each = this.process(node);
    this.record(`${node} is gone for good`);
    each.isKilled = true;
    each.staysDown = true;
    each.child?.kill("SIGKILL");
    const isIts = ({ options }) => options.host === each.ip;
    await this.runners.find(isIts)?.close();
  }

  /** Kills a process; the platform starts it again after `downMs`. */
  async kill(node, downMs = restartMs) {
    const each = this.process(node);
    each.isKilled = true;
    each.staysDown = true;
    this.record(`${node} is killed`);
    const child = each.child;
    if (child !== undefined) {
      const ended = new Promise((done) => child.once("exit", done));
      child.kill("SIGKILL");
      await ended;
    }
    await sleep(downMs);
    each.staysDown = false;
    this.record(`${node} is started again`);
    this.startProcess(each);
  }

  async close() {
    this.#isClosed = true;
    for (const { child } of this.processes) {
      if (child === undefined) continue;
      const ended = new Promise((done) => child.once("exit", done));
      child.kill("SIGKILL");
      await ended;
    }
    for (const runner of this.runners) await runner.close();
    for (const agent of this.#agents.values()) agent.destroy();
    this.store.close();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.#folder, { recursive: true });
    } else process.stderr.write(`logs: ${this.#folder}\n`);
  }

  /** Sends a requester's call to a node; resolves with status and body. */
  async call(node, method, id, body, deadlineMs = 3_000, isQuiet = false) {
    const { ip } = this.process(node);
    let agent = this.#agents.get(node);
    if (agent === undefined) {
      agent = new Agent({ keepAlive: true });
      this.#agents.set(node, agent);
    }
    const text = body === undefined ? undefined : JSON.stringify(body);
    if (!isQuiet) this.record(`${method} ${id} -> ${node}`);
    const send = () =>
      new Promise((resolve) => {
        const headers = { host, "deadline-ms": String(deadlineMs) };
        if (text !== undefined) headers["content-type"] = "application/json";
        const call = request({
          host: ip,
          port: ports.front,
          path: `${prefix}${id}`,
          method,
          agent,
          headers,
          timeout: deadlineMs,
        }, (response) => {
          const chunks = [];
          response.on("data", (chunk) => chunks.push(chunk));
          response.on("error", () => resolve({ status: 0 }));
          response.on("end", () => {
            const json = Buffer.concat(chunks).toString();
            resolve({ status: response.statusCode, body: tryParse(json) });
          });
        });
        call.on("timeout", () => call.destroy());
        call.on("error", () => {
          // The node may have closed an idle channel just now.
          resolve({ status: 0, isStale: call.reusedSocket });
        });
        call.end(text);
      });
    let answer = await send();
    if (answer.isStale) answer = await send();
    if (!isQuiet) {
      const shown = answer.status === 0
        ? "no answer"
        : `${answer.status} ${JSON.stringify(answer.body)}`;
      this.record(`${method} ${id} <- ${node}: ${shown}`);
    }
    return answer;
  }

  /** The names of the tasks of a job that run now. */
  runningOf(id) {
    return this.runners.flatMap(({ running }) =>
      [...running.keys()].filter((task) => task.startsWith(`${id}.`))
    );
  }

  /** Waits until a job that is handed in at each entry has been completed. */
  async warmUp(withinMs = 20_000) {
    const untilMs = performance.now() + withinMs;
    for (const { node, role } of this.processes) {
      if (role !== "entry") continue;
      const id = newId();
      const job = { spec: '{"ms":50}', steps: [{ count: 1, cpu: 100 }] };
      let state;
      while (state !== "completed") {
        if (performance.now() > untilMs) return false;
        await this.call(node, "POST", id, job, 3_000, true);
        await sleep(200);
        const answer = await this.call(node, "GET", id, undefined, 3_000, true);
        state = answer.body?.state;
      }
    }
    const expected = this.counts.sidecars;
    while (this.runners.filter(({ isUsable }) => isUsable).length < expected) {
      if (performance.now() > untilMs) return false;
      await this.#probeRunners();
    }
    return true;
  }

  /** Runs small jobs until each runner has got a task. */
  async #probeRunners() {
    const steps = [{
      count: this.runners.length,
      cpu: 100,
      antiAffinity: 1,
    }];
    const job = { spec: '{"ms":50}', steps };
    const id = newId();
    const first = this.processes.find(({ role }) => role === "entry").node;
    await this.call(first, "POST", id, job, 3_000, true);
    await sleep(500);
    for (const { data } of this.events.filter(({ kind }) => kind === "start")) {
      const runner = this.runners.find(({ name }) => name === data.runner);
      runner.isUsable = true;
    }
  }

  #addEntry(index) {
    const ip = `${this.#subnet}.${10 + index}`;
    this.processes.push({
      node: `front-${index + 1}`,
      role: "entry",
      ip,
      zone: `zone-${index + 1}`,
      ownEnds: 0,
      settings: {
        serves: "front",
        "listen.front": `${ip}:${ports.front}`,
        "listen.ready": `${ip}:${ports.ready}`,
      },
    });
  }

  #addSidecar(index, cpu) {
    const ip = `${this.#subnet}.${40 + index}`;
    const zone = `zone-${(index % 3) + 1}`;
    const control = `${ip}:${ports.control}`;
    this.processes.push({
      node: `side-${index + 1}`,
      role: "sidecar",
      ip,
      zone,
      ownEnds: 0,
      settings: {
        serves: "side",
        "listen.control": control,
        app: `${ip}:${ports.app}`,
      },
    });
    const options = {
      id: `i-${randomBytes(4).toString("hex")}`,
      service,
      host: ip,
      port: ports.app,
      control,
      zone,
      capacity: { cpu, memMb: 64_000, gpu: 0 },
      labels: ["a", `r1-${index + 1}`],
    };
    const runner = new RunnerProcess(options, (kind, atMs, data) => {
      const at = (atMs - this.#beganAtMs) / 1_000;
      const event = { kind, at, data };
      this.events.push(event);
      this.onRunnerEvent?.(event);
    });
    this.runners.push(runner);
  }
}

export function newId() {
  return randomBytes(8).toString("hex");
}

function tryParse(text) {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Runs a case: `play(deployment)` returns the broken rules, or
 * undefined if the case could not run. Exits with 1, 0 or 2.
 */
export async function runCase(folder, options, play) {
  const recordPath = join(dirname(fileURLToPath(folder)), "record.txt");
  const deployment = new Deployment({ recordPath, ...options });
  let code = 2;
  try {
    await deployment.start(options);
    const broken = await play(deployment);
    if (broken === undefined) deployment.record("the case could not run");
    else {
      for (const line of broken) deployment.record(`BROKEN ${line}`);
      if (broken.length === 0) deployment.record("no rule was broken");
      code = broken.length === 0 ? 0 : 1;
    }
  } catch (cause) {
    deployment.record(`the case could not run: ${cause.stack}`);
  }
  await deployment.close();
  process.exit(code);
}
