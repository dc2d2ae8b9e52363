// A small deployment on loopback addresses: the project's own programs as
// processes, with the commands of the deploy file, beside stand-ins of the
// store and the runners.
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request as httpRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Runner } from "./runner.mjs";
import { Store } from "./store.mjs";

const root = resolve(dirname(fileURLToPath(import.meta.url)), "..");
const zones = ["ikeja", "yaba", "surulere"];
const ports = {
  store: 8169,
  front: 8161,
  ready: 8167,
  control: 8166,
  app: 8080,
};
const internalPorts = "7720,7735";
const restartMs = 500;
const host = "nony24.example";
const service = "huvo11a";

/** The bounds of DEPLOY.md that the processes read. */
const bounds = {
  maxHoldMs: 6_000,
  graceS: 6,
  stabilityWindowMs: 3_000,
  ackMs: 4_000,
  drainMs: 2_000,
  stopMs: 200,
  gangMs: 3_000,
  cancel_ms: 3_000,
  visible_ms: 3_000,
};

/** A queue of the configuration. */
export function route(name, fields = {}) {
  return {
    name,
    host,
    pathPrefix: `/${name}/`,
    service,
    priority: 0,
    maxAttempts: 4,
    stretch: 2,
    targetCompletionMs: 1_000,
    ...fields,
  };
}

export class Deployment {
  store = new Store();
  runners = [];
  processes = [];
  /** All that the runners have seen, in order. */
  events = [];
  onEvent = () => {};
  #recordPath;
  #startedAtMs = performance.now();
  #subnet;
  #folder;
  #commands;

  constructor({ folder, entries = 2, sidecars = 3, cpu = 16_000 }) {
    this.#recordPath = join(folder, "record.txt");
    writeFileSync(this.#recordPath, "");
    this.#folder = mkdtempSync(join(tmpdir(), "review-"));
    this.#commands = readCommands();
    this.counts = { entries, sidecars, cpu };
  }

  /** Starts the store, the configuration, the runners and the processes. */
  async start(routes) {
    this.#subnet = await freeSubnet();
    this.store.onTooLarge = (topic, bytes) =>
      this.noteOnce(
        `too large ${topic}`,
        `store rejects a record of ${bytes} bytes in ${topic}`,
      );
    await this.store.listen(this.#ip(0, 0), ports.store);
    this.configure(1, routes);
    const { entries, sidecars } = this.counts;
    for (let index = 0; index < sidecars; index++) this.#addRunner(index);
    for (let index = 0; index < entries; index++) {
      this.#add("entry", index, this.#ip(1, index));
    }
    for (const each of this.processes) this.#spawn(each);
    await sleep(300);
    await Promise.all(this.runners.map((runner) => runner.start()));
  }

  /** Adds an empty runner with its sidecar. */
  async addRunner() {
    const { runner, target } = this.#addRunner(this.runners.length);
    this.note(`${runner.name} is added`);
    this.#spawn(target);
    await sleep(300);
    await runner.start();
  }

  #addRunner(index) {
    const ip = this.#ip(2, index);
    const runner = new Runner({
      name: `r${index + 1}`,
      host: ip,
      port: ports.app,
      control: `${ip}:${ports.control}`,
      service,
      zone: zones[index % zones.length],
      rack: `r1-${Math.floor(index / 3)}`,
      cpu: this.counts.cpu,
      memMb: 64_000,
    }, (event) => this.#handleEvent(event));
    this.runners.push(runner);
    return { runner, target: this.#add("sidecar", index, ip) };
  }

  configure(version, routes) {
    this.note(
      `operator: configuration ${version}: ${
        routes.map(({ name }) => name).join(", ")
      }`,
    );
    const value = {
      version,
      routes,
      services: [{ name: service }],
      limits: {},
    };
    this.store.put("keyed.op", "config", JSON.stringify(value));
  }

  /** Waits until each entry says that it is ready, or the time is over. */
  async awaitReady(withinMs = 20_000) {
    const untilMs = performance.now() + withinMs;
    for (const { role, ip } of this.processes) {
      if (role !== "entry") continue;
      while (await call(ip, ports.ready, "GET", "/v1/readiness", 500) !== 200) {
        if (performance.now() > untilMs) throw new Error("not ready");
        await sleep(100);
      }
    }
    this.note("all entries are ready");
  }

  /** The address of the setting `advice`. */
  get adviceHost() {
    return this.#ip(3, 0);
  }

  get advicePort() {
    return ports.store;
  }

  entries() {
    return this.processes.filter(({ role }) => role === "entry");
  }

  sidecars() {
    return this.processes.filter(({ role }) => role === "sidecar");
  }

  /** Kills a process; it starts again after a short delay. */
  kill(target) {
    this.note(`SIGKILL ${target.node}`);
    target.isKilled = true;
    target.child?.kill("SIGKILL");
  }

  /** Sends a requester's request; undefined if no answer comes in time. */
  async request(entry, method, path, body, withinMs = 3_000) {
    const answer = await send(entry.ip, method, path, body, withinMs);
    this.note(
      `${method} ${path} at ${entry.node} -> ${
        answer === undefined ? "no answer" : `${answer.status} ${answer.text}`
      }`,
    );
    return answer;
  }

  /** Hands a job in as a requester does: again, at the next node, if not accepted. */
  async submit(queue, steps, spec, extra = {}) {
    const id = randomBytes(8).toString("hex");
    const job = { spec: JSON.stringify(spec), steps, ...extra };
    for (let attempt = 0; attempt < 5; attempt++) {
      const entries = this.entries();
      const entry = entries[attempt % entries.length];
      const answer = await this.request(entry, "POST", `/${queue}/${id}`, job);
      if (answer?.status === 200) return id;
      await sleep(1_000);
    }
    return undefined;
  }

  /** A job's state, from the first entry that tells it. */
  async state(queue, id) {
    for (const entry of this.entries()) {
      const answer = await send(
        entry.ip,
        "GET",
        `/${queue}/${id}`,
        undefined,
        3_000,
      );
      if (answer?.status === 200) return answer.body.state;
      if (answer?.status === 410 || answer?.status === 404) {
        return String(answer.status);
      }
    }
    return undefined;
  }

  eventsOf(id, kind) {
    return this.events.filter((event) =>
      event.task.startsWith(`${id}.`) && event.kind === kind
    );
  }

  /** Waits for a condition; returns whether it came true in time. */
  async until(condition, withinMs) {
    const untilMs = performance.now() + withinMs;
    while (performance.now() < untilMs) {
      if (await condition()) return true;
      await sleep(50);
    }
    return false;
  }

  note(line) {
    const atMs = Math.round(performance.now() - this.#startedAtMs);
    appendFileSync(
      this.#recordPath,
      `${String(atMs).padStart(7)} ms  ${line}\n`,
    );
  }

  #noted = new Set();
  noteOnce(key, line) {
    if (this.#noted.has(key)) return;
    this.#noted.add(key);
    this.note(line);
  }

  /** Ends all processes and stand-ins. */
  async close() {
    this.isClosed = true;
    const ended = this.processes.map(({ child }) => {
      if (child === undefined || child.exitCode !== null) return undefined;
      if (child.signalCode !== null) return undefined;
      return new Promise((done) => {
        child.once("exit", done);
        child.kill("SIGCONT");
        child.kill("SIGKILL");
      });
    });
    await Promise.all(ended);
    await Promise.all(this.runners.map((runner) => runner.close()));
    this.store.close();
    if (process.env.KEEP_LOGS === "1") console.log(this.#folder);
    else rmSync(this.#folder, { recursive: true, force: true });
  }

  #handleEvent(event) {
    if (this.isClosed) return;
    const atMs = performance.now() - this.#startedAtMs;
    const item = { ...event, atMs };
    this.events.push(item);
    const { kind, runner, task, run, detail } = event;
    if (this.isQuiet !== true) {
      this.note(`${runner}: ${kind} ${task} run ${run} ${detail}`);
    }
    this.onEvent(item);
  }

  #ip(kind, index) {
    return `127.${this.#subnet}.${kind}.${index + 1}`;
  }

  #add(role, index, ip) {
    const node = `${role}-${index + 1}`;
    const target = { role, ip, node, index, ownEnds: 0 };
    this.processes.push(target);
    return target;
  }

  #spawn(target) {
    if (this.isClosed) return;
    const { role, node, ip, index } = target;
    const isEntry = role === "entry";
    const zone = zones[index % zones.length];
    const settings = {
      node,
      role,
      machineClass: isEntry ? "front" : "side",
      serves: isEntry ? "front" : "side",
      ip,
      zone,
      region: "lagos-west",
      ...(isEntry
        ? {
          "listen.front": `${ip}:${ports.front}`,
          "listen.ready": `${ip}:${ports.ready}`,
        }
        : {
          "listen.control": `${ip}:${ports.control}`,
          app: `${ip}:${ports.app}`,
        }),
      internalPorts,
      bootstrap: "true",
      "limits.cpuShare": isEntry ? 0.675 : 0.405,
      "limits.cores": 1,
      "limits.memoryMb": isEntry ? 350 : 218,
      "limits.maxFds": 4_100,
      "limits.linkMbps": 1_000,
      orders: "rpc",
      advice: `${this.#ip(3, 0)}:${ports.store}`,
      "platform.address": `${this.#ip(0, 0)}:${ports.store}`,
      "platform.form": "log",
      "platform.parts": 16,
      "platform.recordBytes": 262_144,
      "platform.callBytes": 2_097_152,
    };
    for (const zoneName of zones) settings[`zones.${zoneName}`] = "lagos-west";
    for (const [name, value] of Object.entries(bounds)) {
      settings[`bounds.${name}`] = value;
    }
    const lines = Object.entries(settings).map(([key, value]) =>
      `${key}=${value}`
    );
    const path = join(this.#folder, `${node}.conf`);
    writeFileSync(path, `${lines.join("\n")}\n`);
    const [command, ...args] = this.#commands[role];
    const child = spawn(command === "node" ? process.execPath : command, args, {
      cwd: root,
      env: { PATH: process.env.PATH, GYPSUMPOND_BOOT: path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    target.child = child;
    const log = join(this.#folder, `${node}.log`);
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (data) => {
        if (!this.isClosed) appendFileSync(log, data);
      });
    }
    child.once("exit", (code, signal) => {
      if (this.isClosed) return;
      if (!target.isKilled) target.ownEnds += 1;
      target.isKilled = false;
      this.note(`${node} has ended: ${signal ?? `code ${code}`}`);
      setTimeout(() => this.#spawn(target), restartMs);
    });
  }
}

/**
 * Runs a case within its time. Ends with 1 if it tells what was broken, 0 if
 * not, and 2 if it could not run.
 */
export async function runCase(deployment, play, limitMs = 110_000) {
  let hasEnded = false;
  const end = async (code, line) => {
    if (hasEnded) return;
    hasEnded = true;
    deployment.note(line);
    console.log(line);
    await deployment.close();
    process.exit(code);
  };
  for (const signal of ["SIGTERM", "SIGINT"]) {
    process.once(signal, () => void end(2, `could not run: ${signal}`));
  }
  process.once("uncaughtException", (cause) => {
    void end(2, `could not run: ${cause.stack}`);
  });
  setTimeout(() => void end(2, "could not run: out of time"), limitMs);
  try {
    const broken = await play();
    if (broken === undefined) await end(0, "the rule held");
    else await end(1, `the rule was broken: ${broken}`);
  } catch (cause) {
    await end(2, `could not run: ${cause.stack}`);
  }
}

function readCommands() {
  const commands = {};
  let role;
  for (
    const line of readFileSync(join(root, "deploy/system.toml"), "utf8").split(
      "\n",
    )
  ) {
    role = /^\[roles\.([\w-]+)\]/.exec(line)?.[1] ?? role;
    const run = /^run = "(.*)"/.exec(line)?.[1];
    if (role !== undefined && run !== undefined) {
      commands[role] = run.split(" ");
    }
  }
  return commands;
}

/** The second byte of loopback addresses that nothing else uses. */
async function freeSubnet() {
  for (let attempt = 0; attempt < 50; attempt++) {
    const subnet = 20 + randomBytes(1)[0] % 200;
    if (await canListen(`127.${subnet}.0.1`, ports.store)) return subnet;
  }
  throw new Error("no free addresses");
}

function canListen(ip, port) {
  return new Promise((done) => {
    const server = createServer();
    server.once("error", () => done(false));
    server.listen(port, ip, () => server.close(() => done(true)));
  });
}

async function call(ip, port, method, path, withinMs) {
  try {
    const answer = await fetch(`http://${ip}:${port}${path}`, {
      method,
      signal: AbortSignal.timeout(withinMs),
    });
    return answer.status;
  } catch {
    return undefined;
  }
}

function send(ip, method, path, body, withinMs) {
  return new Promise((done) => {
    const text = body === undefined ? "" : JSON.stringify(body);
    const request = httpRequest({
      host: ip,
      port: ports.front,
      method,
      path,
      agent: false,
      headers: {
        host,
        "deadline-ms": String(withinMs),
        ...(text === "" ? {} : { "content-type": "application/json" }),
      },
      timeout: withinMs,
    }, (response) => {
      let received = "";
      response.setEncoding("utf8");
      response.on("data", (chunk) => received += chunk);
      response.on("error", () => done(undefined));
      response.on("end", () => {
        let parsed = {};
        try {
          parsed = JSON.parse(received);
        } catch {
          // Judged by its status.
        }
        done({ status: response.statusCode, body: parsed, text: received });
      });
    });
    request.on("timeout", () => request.destroy());
    request.on("error", () => done(undefined));
    request.end(text);
  });
}
