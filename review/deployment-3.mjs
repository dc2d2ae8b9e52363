// A small deployment for the scripts of this review: the project's own programs
// as separate processes, with the commands of deploy/system.toml, beside
// stand-ins of the platform's store, its runners and its callers. All of it is on
// loopback addresses. The stand-ins do what the users' pages say, and no more.
import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request as httpRequest } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Runner } from "./runner-3.mjs";
import { Store } from "./store-3.mjs";

export { sleep };

const root = dirname(dirname(fileURLToPath(import.meta.url)));
/** The port of `metrics` in deploy/system.toml, at each process's address. */
const metricsPort = 9464;
const ports = {
  front: 8161,
  ready: 8167,
  control: 8166,
  peers: 7720,
  app: 8080,
};
/** The platform restarts a process that has ended after a short delay. */
const restartMs = 500;
/** Figures of the sheet of the site `ikenna-lunch`. */
const settingsOfSite = {
  "limits.cpuShare": 0.675,
  "limits.cores": 1,
  "limits.memoryMb": 350,
  "limits.maxFds": 4100,
  "limits.linkMbps": 1000,
  "bounds.graceS": 6,
  "bounds.maxHoldMs": 6000,
  "platform.form": "log",
  "platform.writesPerS": 800,
  "platform.readsPerS": 2000,
  "platform.parts": 16,
  "platform.recordBytes": 262144,
  "platform.callBytes": 2097152,
  "platform.keep_s": 300,
};

/** Writes what was sent, answered and run, with the time since the start. */
export class Record {
  constructor(path) {
    this.path = path;
    this.startedAtMs = performance.now();
    writeFileSync(path, "");
  }

  add(line) {
    const s = (performance.now() - this.startedAtMs) / 1000;
    const text = `${s.toFixed(3).padStart(8)} s  ${line}`;
    appendFileSync(this.path, `${text}\n`);
    console.log(text);
  }
}

/** The command of a role in the deploy file. */
function commandOf(role) {
  const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1] ?? "";
  const command = /^run = "(.*)"$/m.exec(section)?.[1];
  if (command === undefined) throw new Error(`no command of ${role}`);
  return command.split(" ");
}

/** One process of the system, restarted by the platform when it ends. */
class Process {
  #isHalted = false;

  constructor(deployment, name, role, ip, settings) {
    this.deployment = deployment;
    this.name = name;
    this.role = role;
    this.ip = ip;
    this.settings = settings;
    this.child = undefined;
    /** How often it has ended without a signal of this script. */
    this.ownEnds = 0;
    this.isSignalled = false;
    this.output = "";
  }

  start() {
    const { deployment, name } = this;
    const path = join(deployment.folder, `${name}.conf`);
    const lines = Object.entries(this.settings).map(([k, v]) => `${k}=${v}`);
    writeFileSync(path, `${lines.join("\n")}\n`);
    const [program, ...args] = commandOf(this.role);
    this.isSignalled = false;
    const child = spawn(program, args, {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        GYPSUMPOND_BOOT: path,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.child = child;
    const collect = (chunk) => {
      this.output += chunk;
      deployment.onOutput(this, String(chunk));
    };
    child.stdout.on("data", collect);
    child.stderr.on("data", collect);
    child.once("exit", (code, signal) => {
      if (this.child === child) this.child = undefined;
      if (deployment.isClosed) return;
      if (!this.isSignalled) this.ownEnds += 1;
      const why = this.isSignalled ? "of this script" : "BY ITSELF";
      deployment.record.add(
        `${name} has ended ${why} (code ${code}, signal ${signal})`,
      );
      if (this.#isHalted) return;
      setTimeout(() => {
        if (!deployment.isClosed && !this.#isHalted) this.start();
      }, restartMs);
    });
  }

  get isRunning() {
    return this.child !== undefined;
  }

  signal(name) {
    this.deployment.record.add(`${this.name} gets ${name}`);
    this.child?.kill(name);
  }

  /** Kills it; the platform starts it again, unless it shall stay away. */
  kill(staysAway = false) {
    this.#isHalted = staysAway;
    this.isSignalled = true;
    this.deployment.record.add(`${this.name} is killed`);
    this.child?.kill("SIGKILL");
  }

  resume() {
    if (!this.#isHalted) return;
    this.#isHalted = false;
    this.start();
  }
}

/** Whether an address is free, at the ports that are used there. */
async function isFree(ip) {
  for (const port of [...Object.values(ports), metricsPort, 8169]) {
    const server = createTcpServer();
    const isBound = await new Promise((done) => {
      server.once("error", () => done(false));
      server.listen(port, ip, () => done(true));
    });
    await new Promise((done) => server.close(done));
    if (!isBound) return false;
  }
  return true;
}

/** Entries, sidecars, runners and the store. */
export class Deployment {
  constructor(
    record,
    { entries = 3, runners = 4, kinds = [], cpu = 16000, settings = {} } = {},
  ) {
    this.record = record;
    this.counts = { entries, runners };
    this.kinds = kinds;
    this.cpu = cpu;
    /** The site's settings where they differ from those of `ikenna-lunch`. */
    this.settings = settings;
    this.isClosed = false;
    this.onOutput = () => {};
    this.entries = [];
    this.sidecars = [];
    this.runners = [];
    this.folder = mkdtempSync(join(tmpdir(), "review-3-"));
  }

  /** Draws a subnet of loopback addresses of which all ports are free. */
  async prepare() {
    const { entries, runners } = this.counts;
    for (let attempt = 0; attempt < 50; attempt++) {
      const subnet = `127.${20 + Math.floor(Math.random() * 200)}.${
        Math.floor(Math.random() * 250)
      }`;
      const ips = [`${subnet}.1`];
      for (let i = 0; i < entries; i++) ips.push(`${subnet}.${10 + i}`);
      for (let i = 0; i < runners; i++) ips.push(`${subnet}.${50 + i}`);
      const isEachFree = await Promise.all(ips.map(isFree));
      if (!isEachFree.every(Boolean)) continue;
      this.subnet = subnet;
      break;
    }
    if (this.subnet === undefined) throw new Error("no free addresses");
    this.store = new Store(`${this.subnet}.1`, 8169);
    for (let i = 0; i < entries; i++) {
      const ip = `${this.subnet}.${10 + i}`;
      this.entries.push(
        new Process(this, `front-${i + 1}`, "entry", ip, {
          ...this.#settings(`front-${i + 1}`, ip, "front"),
          serves: "front",
          "listen.front": `${ip}:${ports.front}`,
          "listen.ready": `${ip}:${ports.ready}`,
        }),
      );
    }
    for (let i = 0; i < runners; i++) {
      const ip = `${this.subnet}.${50 + i}`;
      const app = `${ip}:${ports.app}`;
      this.sidecars.push(
        new Process(this, `side-${i + 1}`, "sidecar", ip, {
          ...this.#settings(`side-${i + 1}`, ip, "side"),
          serves: "side",
          "limits.memoryMb": 218,
          "limits.cpuShare": 0.405,
          "listen.control": `${ip}:${ports.control}`,
          app,
        }),
      );
      this.runners.push(
        new Runner({
          name: `runner-${i + 1}`,
          ip,
          port: ports.app,
          control: `${ip}:${ports.control}`,
          service: "menu-desk",
          labels: [this.kinds[i] ?? "a", `r${i % 3}`],
          cpu: this.cpu,
          maxHoldMs: this.settings["bounds.maxHoldMs"] ??
            settingsOfSite["bounds.maxHoldMs"],
          note: (line) => this.record.add(line),
        }),
      );
    }
    await this.store.listen();
  }

  #settings(node, ip, machineClass) {
    return {
      node,
      role: machineClass,
      machineClass,
      ip,
      zone: "ikeja",
      region: "lagos-west",
      internalPorts: `${ports.peers},${ports.peers + 15}`,
      bootstrap: "true",
      heartbeatMs: 1100,
      orders: "rpc",
      "platform.address": `${this.subnet}.1:8169`,
      ...settingsOfSite,
      ...this.settings,
    };
  }

  startProcesses() {
    for (const each of [...this.entries, ...this.sidecars]) each.start();
  }

  async startRunners() {
    for (const runner of this.runners) await runner.listen();
  }

  /** Waits until all given entries are ready; returns whether they are. */
  async awaitReady(withinMs, entries = this.entries) {
    const untilMs = performance.now() + withinMs;
    while (performance.now() < untilMs) {
      const states = await Promise.all(
        entries.map((each) => this.isReady(each)),
      );
      if (states.every(Boolean)) return true;
      await sleep(100);
    }
    return false;
  }

  async isReady(entry) {
    const { status } = await call(
      `${entry.ip}:${ports.ready}`,
      "GET",
      "/v1/readiness",
      { timeoutMs: 900 },
    );
    return status === 200;
  }

  /** The entry that is keeper, by the newest row of the system's stream. */
  get keeper() {
    const value = this.store.newest("keyed.cell", "keeper");
    if (value === undefined) return undefined;
    const { node } = JSON.parse(value);
    return this.entries.find(({ name }) => name === node);
  }

  /** A caller's request to an entry; status 0 if there was no answer. */
  async ask(entry, method, path, { host, body, timeoutMs = 3000 }) {
    return await call(`${entry.ip}:${ports.front}`, method, path, {
      host,
      body,
      timeoutMs,
      headers: { "deadline-ms": String(timeoutMs) },
    });
  }

  async close() {
    this.isClosed = true;
    const ends = [...this.entries, ...this.sidecars].map(async ({ child }) => {
      if (child === undefined) return;
      const ended = new Promise((done) => child.once("exit", done));
      child.kill("SIGCONT");
      child.kill("SIGKILL");
      await ended;
    });
    await Promise.all(ends);
    for (const runner of this.runners) runner.close();
    this.store?.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** One HTTP call on a new connection; status 0 if there was no answer. */
export function call(
  address,
  method,
  path,
  { host, body, timeoutMs = 3000, headers = {} } = {},
) {
  const [hostname, port] = address.split(":");
  return new Promise((done) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const request = httpRequest({
      host: hostname,
      port,
      method,
      path,
      agent: false,
      headers: {
        ...(host === undefined ? {} : { host }),
        ...(text === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        }),
        ...headers,
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("end", () => {
        clearTimeout(timer);
        let parsed = {};
        try {
          parsed = JSON.parse(Buffer.concat(chunks).toString());
        } catch {
          // An answer without a JSON body.
        }
        done({ status: response.statusCode, body: parsed });
      });
      response.on("error", () => done({ status: 0, body: {} }));
    });
    const timer = setTimeout(() => request.destroy(), timeoutMs);
    request.on("error", () => {
      clearTimeout(timer);
      done({ status: 0, body: {} });
    });
    request.end(text);
  });
}

/** A job id. */
export function newId() {
  const digit = () => Math.floor(Math.random() * 16).toString(16);
  return Array.from({ length: 16 }, digit).join("");
}

/**
 * Runs a case: `play` returns the lines that say how the rule was broken. Exits
 * with 1 if there are any, 0 if there are none, 2 if the case could not run.
 */
export async function runCase(path, options, play) {
  const record = new Record(path);
  const isTroubled = process.env.TROUBLE !== "0";
  record.add(isTroubled ? "with the disruption" : "without the disruption");
  const deployment = new Deployment(record, options);
  let code = 2;
  // A fault of the script itself says nothing of the rule.
  const giveUp = async (why) => {
    record.add(`the case could not run: ${why}`);
    await deployment.close().catch(() => {});
    process.exit(2);
  };
  process.on("uncaughtException", (cause) => void giveUp(cause.stack));
  for (const name of ["SIGINT", "SIGTERM", "SIGHUP"]) {
    process.once(name, () => void giveUp(name));
  }
  try {
    await deployment.prepare();
    const broken = await play(deployment, record, isTroubled);
    for (const line of broken) record.add(`BROKEN: ${line}`);
    code = broken.length > 0 ? 1 : 0;
    record.add(code === 0 ? "the rule held" : "the rule was broken");
  } catch (cause) {
    record.add(`the case could not run: ${cause.stack}`);
  } finally {
    await deployment.close();
  }
  process.exit(code);
}

/** Thrown where a case cannot show anything. */
export function unless(condition, why) {
  if (!condition) throw new Error(why);
}
