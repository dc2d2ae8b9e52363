import { join } from "node:path";
import type { GuaranteeChecker } from "./guarantee_checker.ts";
import { SoakProcess } from "./soak_process.ts";
import { RunnerStandIn } from "./runner_stand_in.ts";
import { StoreStandIn } from "./store_stand_in.ts";

const defaultCounts = { entries: 3, sidecars: 4 };
const ports = {
  store: 7100,
  front: 7101,
  ready: 7102,
  control: 7103,
  app: 7104,
  peers: 7105,
};
/**
 * The second byte of all addresses, drawn from the seed so that runs in
 * parallel do not share addresses.
 */
const firstSubnet = 10;
const subnetCount = 200;
const leaseMs = 6_000;
const graceS = 3;
/** The runners' clocks run 1 to 2 % slow. */
const clockRates = [0.99, 0.987, 0.984, 0.981];

/** Real entries and sidecars on loopback; runners and store are stand-ins. */
export class SoakDeployment {
  readonly store = new StoreStandIn();
  readonly runners: RunnerStandIn[] = [];
  readonly processes: SoakProcess[] = [];
  /** The addresses that callers connect to. */
  readonly fronts: string[] = [];
  readonly #subnet: number;

  constructor(
    seed: number,
    readonly folder: string,
    readonly checker: GuaranteeChecker,
    /** Settings of all processes, beside those that they need. */
    readonly settings: Readonly<Record<string, string | number>> = {},
    readonly counts: {
      readonly entries: number;
      readonly sidecars: number;
    } = defaultCounts,
  ) {
    this.#subnet = firstSubnet + seed % subnetCount;
    for (let index = 0; index < counts.entries; index++) this.#addEntry(index);
    for (let index = 0; index < counts.sidecars; index++) {
      this.#addSidecar(index);
    }
    checker.settle = (name) => {
      for (const runner of this.runners) {
        if (runner.name !== name) runner.observer.settleLease();
      }
    };
  }

  get entries(): readonly SoakProcess[] {
    return this.processes.filter(({ role }) => role === "entry");
  }

  /** The sidecars, in the order of their runners. */
  get sidecars(): readonly SoakProcess[] {
    return this.processes.filter(({ role }) => role === "sidecar");
  }

  /** Stores the configuration, then starts the runners and processes. */
  async start(configuration: unknown): Promise<void> {
    await this.store.listen(this.#host(0, 0), ports.store);
    const value = JSON.stringify(configuration);
    const rows = [{ key: "config", value }];
    await this.store.model.append("op", rows, { kind: "none" });
    for (const runner of this.runners) await runner.listen();
    for (const process of this.processes) process.start();
  }

  /** Stops the processes, the runners and the store. */
  async close(): Promise<void> {
    for (const process of this.processes) await process.close();
    for (const runner of this.runners) runner.close();
    this.store.close();
  }

  #addEntry(index: number): void {
    const ip = this.#host(1, index);
    this.fronts.push(`${ip}:${ports.front}`);
    this.#add("entry", index, ip, {
      "listen.front": `${ip}:${ports.front}`,
      "listen.ready": `${ip}:${ports.ready}`,
    });
  }

  #addSidecar(index: number): void {
    const ip = this.#host(2, index);
    const control = `${ip}:${ports.control}`;
    const name = `runner-${index}`;
    this.runners.push(
      new RunnerStandIn(
        name,
        ip,
        ports.app,
        control,
        this.checker,
        `zone-${index}`,
        clockRates[index % clockRates.length]!,
      ),
    );
    this.#add("sidecar", index, ip, {
      "listen.control": control,
      app: `${ip}:${ports.app}`,
    });
  }

  #add(
    role: "entry" | "sidecar",
    index: number,
    ip: string,
    settings: Readonly<Record<string, string>>,
  ): void {
    const node = `${role}-${index}`;
    const allSettings = {
      node,
      ip,
      internalPorts: ports.peers,
      "platform.address": `${this.#host(0, 0)}:${ports.store}`,
      "bounds.maxHoldMs": leaseMs,
      "bounds.graceS": graceS,
      ...this.settings,
      ...settings,
    };
    this.processes.push(
      new SoakProcess(node, role, allSettings, join(this.folder, node)),
    );
  }

  /** Each process has its own address, so that all can use the same ports. */
  #host(kind: number, index: number): string {
    return `127.${this.#subnet}.${kind}.${index + 1}`;
  }
}
