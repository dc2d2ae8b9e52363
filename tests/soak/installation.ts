import { join } from "node:path";
import type { Judge } from "./judge.ts";
import { SoakProcess } from "./process.ts";
import { RunnerStandIn } from "./runner_stand_in.ts";
import { StoreStandIn } from "./store_stand_in.ts";

const entries = 3;
const sidecars = 4;
const ports = {
  store: 7100,
  front: 7101,
  ready: 7102,
  control: 7103,
  app: 7104,
  members: 7105,
};
/** Plays beside each other differ in the second number of their addresses. */
const firstNet = 10;
const nets = 200;
const leaseMs = 6_000;
const graceS = 3;

/** Real processes of ours on loopback, and stand-ins of all they call. */
export class Installation {
  readonly store = new StoreStandIn();
  readonly runners: RunnerStandIn[] = [];
  readonly processes: SoakProcess[] = [];
  /** Where callers connect. */
  readonly fronts: string[] = [];
  readonly #net: number;

  constructor(seed: number, readonly folder: string, readonly judge: Judge) {
    this.#net = firstNet + seed % nets;
    for (let index = 0; index < entries; index++) this.#addEntry(index);
    for (let index = 0; index < sidecars; index++) this.#addSidecar(index);
  }

  /** Starts all, with a configuration in force. */
  async start(configuration: unknown): Promise<void> {
    await this.store.listen(this.#host(0, 0), ports.store);
    const value = JSON.stringify(configuration);
    const rows = [{ key: "config", value }];
    await this.store.model.append("op", rows, { kind: "none" });
    for (const runner of this.runners) await runner.listen();
    for (const process of this.processes) process.start();
  }

  /** Ends all for good. */
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
      new RunnerStandIn(name, ip, ports.app, control, this.judge),
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
    const all = {
      node,
      ip,
      internalPorts: ports.members,
      "platform.address": `${this.#host(0, 0)}:${ports.store}`,
      "bounds.maxHoldMs": leaseMs,
      "bounds.graceS": graceS,
      ...settings,
    };
    this.processes.push(
      new SoakProcess(node, role, all, join(this.folder, node)),
    );
  }

  /** Each process has an address of its own, so that all may use one port. */
  #host(kind: number, index: number): string {
    return `127.${this.#net}.${kind}.${index + 1}`;
  }
}
