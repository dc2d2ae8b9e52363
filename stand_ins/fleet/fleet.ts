import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { FleetOptions } from "./fleet_options.ts";
import { allocatePort } from "./allocate_port.ts";
import { ManagedProcess } from "./managed_process.ts";
import { postAdmin } from "./post_admin.ts";
import type { FleetHost } from "./fleet_host.ts";

const defaultBundle = "dist/gypsumpond.cjs";
/** Small heaps and one V8 thread, since a whole fleet runs on one machine. */
const defaultFlags = [
  "--max-semi-space-size=1",
  "--max-old-space-size=40",
  "--v8-pool-size=1",
];
/** Sidecars are spread over this many racks in turn. */
const rackCount = 3;
/** How many hosts start at the same time. */
const startBatchSize = 8;

/**
 * The processes of one data centre on loopback, for the demo, benchmarks and
 * tests: the log, entries, and hosts with a sidecar, a runner and a worker
 * each. Fault proxies stand between them where the options ask for it.
 */
export class Fleet {
  readonly hosts: FleetHost[] = [];
  readonly entries: ManagedProcess[] = [];
  /** Ports at which the entries serve callers. */
  readonly callerPorts: number[] = [];
  logPort = 0;
  logProxyAdminPort: number | undefined;
  /** The cell of all sidecars, named after the data centre. */
  readonly cell: string;
  readonly #processes: ManagedProcess[] = [];
  readonly #settingsFolder = mkdtempSync(join(tmpdir(), "gypsumpond-"));
  readonly #entryPeerPorts: number[] = [];
  /** The log's port, or that of the fault proxy in front of it. */
  #logPortForPeers = 0;

  constructor(readonly options: FleetOptions) {
    this.cell = options.dataCentre;
  }

  get #bundlePath(): string {
    return this.options.bundlePath ?? defaultBundle;
  }

  /** The log's address, in the format of the `--log` option. */
  get logAddress(): string {
    return `127.0.0.1:${this.logPort}`;
  }

  /** The base URL at which an entry serves callers. */
  entryUrl(index = 0): string {
    return `http://127.0.0.1:${this.callerPorts[index]}`;
  }

  /** Starts the log, then the entries, then the hosts in batches. */
  async start(): Promise<void> {
    await this.#startLog();
    for (let n = 0; n < this.options.entries; n++) {
      this.#entryPeerPorts.push(await allocatePort());
    }
    for (let n = 1; n <= this.options.entries; n++) await this.#startEntry(n);
    const numbers = Array.from(
      { length: this.options.runners },
      (_, n) => n + 1,
    );
    for (let from = 0; from < numbers.length; from += startBatchSize) {
      const batch = numbers.slice(from, from + startBatchSize);
      const batchHosts = await Promise.all(
        batch.map((n) => this.#startHost(n)),
      );
      this.hosts.push(...batchHosts);
    }
  }

  /** Runs an operator's command and returns its exit code and output. */
  async runCommand(
    ...args: string[]
  ): Promise<{ code: number | null; output: string }> {
    const process = new ManagedProcess(
      "command",
      "node",
      [this.#bundlePath, ...args],
      "",
    );
    // The ready text is empty, so any line of output counts. A command without
    // output never gets ready, which is not an error here.
    await process.start().catch(() => {});
    const code = await process.waitForExit();
    return { code, output: process.outputLines.join("\n") };
  }

  /** Changes the faults of the log. */
  async setLogFaults(faults: unknown): Promise<void> {
    await postAdmin(this.logPort, faults);
  }

  /** Kills all processes and removes their settings files. */
  async stop(): Promise<void> {
    await Promise.all(this.#processes.map((process) => process.kill()));
    rmSync(this.#settingsFolder, { recursive: true, force: true });
  }

  async #startLog(): Promise<void> {
    this.logPort = await allocatePort();
    await this.#startStandIn("log", "log", ["--port", String(this.logPort)]);
    const isWanted = this.options.proxies.log ?? false;
    const proxy = await this.#startProxy("log", this.logPort, isWanted);
    this.#logPortForPeers = proxy.port;
    this.logProxyAdminPort = proxy.admin;
  }

  async #startEntry(n: number): Promise<void> {
    const port = await allocatePort();
    const settings = {
      ...this.#peerSettings(
        `entry-${n}`,
        `rack-${n}`,
        this.#entryPeerPorts[n - 1] ?? 0,
      ),
      callers: loopback(port),
    };
    this.callerPorts.push(port);
    const entry = await this.#startProduct("entry", `entry-${n}`, settings);
    this.entries.push(entry);
  }

  async #startHost(n: number): Promise<FleetHost> {
    const { service, meanMs, proxies, cores, memoryGb } = this.options;
    const workerPort = await allocatePort();
    const worker = await this.#startStandIn(`worker-${n}`, "worker", [
      "--port",
      String(workerPort),
      "--id",
      `worker-${n}`,
      "--cores",
      String(cores),
      "--memory",
      String(memoryGb),
    ]);
    const workerProxy = await this.#startProxy(
      `worker-${n}`,
      workerPort,
      proxies.workers ?? false,
    );
    const runnerListenPort = await allocatePort();
    const sidecarPort = await allocatePort();
    const sidecarProxy = await this.#startProxy(
      `sidecar-${n}`,
      sidecarPort,
      proxies.sidecars ?? false,
    );
    const settings = {
      ...this.#peerSettings(
        `sidecar-${n}`,
        `rack-${1 + (n - 1) % rackCount}`,
        sidecarPort,
      ),
      cell: this.cell,
      advertised: loopback(sidecarProxy.port),
      runnerListen: loopback(runnerListenPort),
      worker: {
        id: `worker-${n}`,
        address: loopback(workerProxy.port),
        // The example configuration selects workers for its pools by these.
        labels: { owner: n % 2 === 0 ? "shared" : "first", trade: "catering" },
      },
    };
    const sidecar = await this.#startProduct(
      "sidecar",
      `sidecar-${n}`,
      settings,
    );
    const runnerPort = await allocatePort();
    const runnerProxy = await this.#startProxy(
      `runner-${n}`,
      runnerPort,
      proxies.runners ?? false,
    );
    const runner = await this.#startStandIn(`runner-${n}`, "runner", [
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
      String(runnerListenPort),
      "--announced-port",
      String(runnerProxy.port),
    ]);
    return {
      sidecar,
      runner,
      worker,
      runnerPort,
      workerPort,
      runnerProxyAdminPort: runnerProxy.admin,
      workerProxyAdminPort: workerProxy.admin,
      sidecarProxyAdminPort: sidecarProxy.admin,
    };
  }

  /** Starts a fault proxy if wanted; without one, returns the target's port. */
  async #startProxy(
    name: string,
    targetPort: number,
    isWanted: boolean,
  ): Promise<{ port: number; admin: number | undefined }> {
    if (!isWanted) return { port: targetPort, admin: undefined };
    const port = await allocatePort();
    const admin = await allocatePort();
    const args = [
      "--port",
      port,
      "--admin-port",
      admin,
      "--target",
      targetPort,
    ];
    await this.#startStandIn(`proxy-${name}`, "fault_proxy", args.map(String));
    return { port, admin };
  }

  async #startStandIn(
    name: string,
    kind: string,
    args: string[],
  ): Promise<ManagedProcess> {
    const command = [`build/stand_ins/${kind}/main.mjs`, ...args];
    return await this.#startProcess(
      new ManagedProcess(name, "node", command, "ready"),
    );
  }

  async #startProduct(
    role: string,
    name: string,
    settings: unknown,
  ): Promise<ManagedProcess> {
    const settingsFile = join(this.#settingsFolder, `${name}.jsonc`);
    writeFileSync(settingsFile, JSON.stringify(settings, undefined, 2));
    const args = [
      ...this.options.flags ?? defaultFlags,
      this.#bundlePath,
      role,
      "--settings",
      settingsFile,
    ];
    return await this.#startProcess(
      new ManagedProcess(name, "node", args, "event=ready"),
    );
  }

  async #startProcess(process: ManagedProcess): Promise<ManagedProcess> {
    this.#processes.push(process);
    await process.start();
    return process;
  }

  #peerSettings(
    id: string,
    rack: string,
    port: number,
  ): Record<string, unknown> {
    return {
      id,
      dataCentre: this.options.dataCentre,
      rack,
      listen: loopback(port),
      seeds: this.#entryPeerPorts.map(loopback),
      log: loopback(this.#logPortForPeers),
    };
  }
}

function loopback(port: number): { host: string; port: number } {
  return { host: "127.0.0.1", port };
}
