import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { FleetOptions } from "./fleet_options.ts";
import { freePort } from "./free_port.ts";
import { ManagedProcess } from "./managed_process.ts";
import { postAdmin } from "./post_admin.ts";
import type { Slot } from "./slot.ts";

const ownProduct = "dist/gypsumpond.cjs";
const defaultFlags = [
  "--max-semi-space-size=1",
  "--max-old-space-size=40",
  "--v8-pool-size=1",
];
const racksOf = 3;
const startedTogether = 8;

/** One data centre's processes on loopback, for demos and tests. */
export class Fleet {
  readonly slots: Slot[] = [];
  readonly entries: ManagedProcess[] = [];
  readonly callerPorts: number[] = [];
  logPort = 0;
  logProxyAdmin: number | undefined;
  readonly cell: string;
  readonly #all: ManagedProcess[] = [];
  readonly #folder = mkdtempSync(join(tmpdir(), "gypsumpond-"));
  readonly #entryPorts: number[] = [];
  #logPortForPeers = 0;

  constructor(readonly options: FleetOptions) {
    this.cell = options.dataCentre;
  }

  get #bundle(): string {
    return this.options.product ?? ownProduct;
  }

  /** The log's address, as operators' commands take it. */
  get logAddress(): string {
    return `127.0.0.1:${this.logPort}`;
  }

  /** The address of an entry for callers. */
  callers(index = 0): string {
    return `http://127.0.0.1:${this.callerPorts[index]}`;
  }

  /** Starts everything. */
  async start(): Promise<void> {
    await this.#startLog();
    for (let n = 0; n < this.options.entries; n++) {
      this.#entryPorts.push(await freePort());
    }
    for (let n = 1; n <= this.options.entries; n++) await this.#addEntry(n);
    const numbers = Array.from(
      { length: this.options.runners },
      (_, n) => n + 1,
    );
    for (let from = 0; from < numbers.length; from += startedTogether) {
      const some = numbers.slice(from, from + startedTogether);
      const slots = await Promise.all(some.map((n) => this.#addSlot(n)));
      this.slots.push(...slots);
    }
  }

  /** Runs an operator's command and gives its exit code and output. */
  async command(
    ...args: string[]
  ): Promise<{ code: number | null; output: string }> {
    const process = new ManagedProcess(
      "command",
      "node",
      [this.#bundle, ...args],
      "",
    );
    await process.start().catch(() => {});
    const code = await process.exited();
    return { code, output: process.lines.join("\n") };
  }

  /** Changes the log's faults. */
  async setLog(faults: unknown): Promise<void> {
    await postAdmin(this.logPort, faults);
  }

  /** Ends everything that was started. */
  async stop(): Promise<void> {
    await Promise.all(this.#all.map((process) => process.kill()));
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #startLog(): Promise<void> {
    this.logPort = await freePort();
    await this.#standIn("log", "log", ["--port", String(this.logPort)]);
    const wanted = this.options.proxies.log ?? false;
    const proxy = await this.#proxy("log", this.logPort, wanted);
    this.#logPortForPeers = proxy.port;
    this.logProxyAdmin = proxy.admin;
  }

  async #addEntry(n: number): Promise<void> {
    const port = await freePort();
    const settings = {
      ...this.#common(`entry-${n}`, `rack-${n}`, this.#entryPorts[n - 1] ?? 0),
      callers: loopback(port),
    };
    this.callerPorts.push(port);
    const entry = await this.#product("entry", `entry-${n}`, settings);
    this.entries.push(entry);
  }

  async #addSlot(n: number): Promise<Slot> {
    const { service, meanMs, proxies, cores, memoryGb } = this.options;
    const workerPort = await freePort();
    const worker = await this.#standIn(`worker-${n}`, "worker", [
      "--port",
      String(workerPort),
      "--id",
      `worker-${n}`,
      "--cores",
      String(cores),
      "--memory",
      String(memoryGb),
    ]);
    const workerProxy = await this.#proxy(
      `worker-${n}`,
      workerPort,
      proxies.workers ?? false,
    );
    const runnerListen = await freePort();
    const port = await freePort();
    const sidecarProxy = await this.#proxy(
      `sidecar-${n}`,
      port,
      proxies.sidecars ?? false,
    );
    const settings = {
      ...this.#common(
        `sidecar-${n}`,
        `rack-${1 + (n - 1) % racksOf}`,
        port,
      ),
      cell: this.cell,
      advertised: loopback(sidecarProxy.port),
      runnerListen: loopback(runnerListen),
      worker: {
        id: `worker-${n}`,
        address: loopback(workerProxy.port),
        labels: { owner: n % 2 === 0 ? "shared" : "first", trade: "catering" },
      },
    };
    const sidecar = await this.#product("sidecar", `sidecar-${n}`, settings);
    const runnerPort = await freePort();
    const runnerProxy = await this.#proxy(
      `runner-${n}`,
      runnerPort,
      proxies.runners ?? false,
    );
    const runner = await this.#standIn(`runner-${n}`, "runner", [
      "--port",
      String(runnerPort),
      "--id",
      `runner-${n}`,
      "--service",
      service,
      "--mean-ms",
      String(meanMs),
      "--seed",
      String(n),
      "--sidecar",
      String(runnerListen),
      "--announced-port",
      String(runnerProxy.port),
    ]);
    return {
      sidecar,
      runner,
      worker,
      runnerPort,
      workerPort,
      runnerProxyAdmin: runnerProxy.admin,
      workerProxyAdmin: workerProxy.admin,
      sidecarProxyAdmin: sidecarProxy.admin,
    };
  }

  async #proxy(
    name: string,
    target: number,
    isWanted: boolean,
  ): Promise<{ port: number; admin: number | undefined }> {
    if (!isWanted) return { port: target, admin: undefined };
    const port = await freePort();
    const admin = await freePort();
    const args = ["--port", port, "--admin-port", admin, "--target", target];
    await this.#standIn(`proxy-${name}`, "fault_proxy", args.map(String));
    return { port, admin };
  }

  async #standIn(
    name: string,
    kind: string,
    args: string[],
  ): Promise<ManagedProcess> {
    const command = [`build/stand_ins/${kind}/main.mjs`, ...args];
    return await this.#run(new ManagedProcess(name, "node", command, "ready"));
  }

  async #product(
    role: string,
    name: string,
    settings: unknown,
  ): Promise<ManagedProcess> {
    const file = join(this.#folder, `${name}.jsonc`);
    writeFileSync(file, JSON.stringify(settings, undefined, 2));
    const args = [
      ...this.options.flags ?? defaultFlags,
      this.#bundle,
      role,
      "--settings",
      file,
    ];
    return await this.#run(
      new ManagedProcess(name, "node", args, "event=ready"),
    );
  }

  async #run(process: ManagedProcess): Promise<ManagedProcess> {
    this.#all.push(process);
    await process.start();
    return process;
  }

  #common(id: string, rack: string, port: number): Record<string, unknown> {
    return {
      id,
      dataCentre: this.options.dataCentre,
      rack,
      listen: loopback(port),
      seeds: this.#entryPorts.map(loopback),
      log: loopback(this.#logPortForPeers),
    };
  }
}

function loopback(port: number): { host: string; port: number } {
  return { host: "127.0.0.1", port };
}
