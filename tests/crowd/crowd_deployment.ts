import { setTimeout as sleep } from "node:timers/promises";
import { StoreStandIn } from "../soak/store_stand_in.ts";
import { callersHost } from "../soak/callers_host.ts";
import { Crowd } from "./crowd.ts";
import type { CrowdPlan } from "./crowd_plan.ts";
import { LimitedProcess } from "./limited_process.ts";

/**
 * The second byte of all addresses; the soak uses lower ones. It varies so that
 * runs in parallel do not share addresses.
 */
const subnet = 212 + process.pid % 18;
const ports = { store: 7100, front: 7101, ready: 7102, control: 7103 };
const peerPort = 7105;
const metricsPort = 9464;
const pollMs = 100;
/** The process has dealt with a crowd once it uses less of a core. */
const calmShare = 0.2;
const calmPolls = 3;
const settlePolls = 150;

/** Lower than in the deploy file and the settings. */
const roles = {
  entry: { memoryMb: 200, oldSpaceMb: 64, semiSpaceMb: 4 },
  sidecar: { memoryMb: 150, oldSpaceMb: 48, semiSpaceMb: 2 },
} as const;

const configuration = {
  version: 1,
  routes: [{
    name: "q",
    host: callersHost,
    pathPrefix: "/q/",
    service: "pool",
  }],
};

let hosts = 0;

/** A store stand-in and one process of the system, for crowds to come to. */
export class CrowdDeployment {
  readonly store = new StoreStandIn();
  readonly process: LimitedProcess;
  readonly limits: { readonly memoryMb: number; readonly maxFds: number };
  readonly #host = `127.${subnet}.1.${++hosts}`;
  readonly #storeHost = `127.${subnet}.0.${hosts}`;
  readonly #crowds: Crowd[] = [];

  private constructor(role: keyof typeof roles, maxFds: number) {
    const { oldSpaceMb, semiSpaceMb, memoryMb } = roles[role];
    this.limits = { memoryMb, maxFds };
    const listeners = role === "entry"
      ? { "listen.front": this.front, "listen.ready": this.ready }
      : { "listen.control": this.control, app: `${this.#host}:1` };
    this.process = new LimitedProcess(role, {
      node: role,
      ip: this.#host,
      internalPorts: peerPort,
      "platform.address": `${this.#storeHost}:${ports.store}`,
      "limits.memoryMb": memoryMb,
      "limits.maxFds": maxFds,
      ...listeners,
    }, [
      `--max-old-space-size=${oldSpaceMb}`,
      `--max-semi-space-size=${semiSpaceMb}`,
    ]);
  }

  static async start(
    role: keyof typeof roles,
    maxFds = 4_100,
  ): Promise<CrowdDeployment> {
    const deployment = new CrowdDeployment(role, maxFds);
    const { store } = deployment;
    await store.listen(deployment.#storeHost, ports.store);
    const rows = [{ key: "config", value: JSON.stringify(configuration) }];
    await store.model.append("op", rows, { kind: "none" });
    return deployment;
  }

  get front(): string {
    return `${this.#host}:${ports.front}`;
  }

  get ready(): string {
    return `${this.#host}:${ports.ready}`;
  }

  get control(): string {
    return `${this.#host}:${ports.control}`;
  }

  get metrics(): string {
    return `${this.#host}:${metricsPort}`;
  }

  get peers(): string {
    return `${this.#host}:${peerPort}`;
  }

  /** Sends a crowd to a listener, and waits until the process is calm. */
  async receive(address: string, plan: CrowdPlan): Promise<void> {
    this.#crowds.push(new Crowd(address, plan));
    let cpuMs = this.process.cpuMs;
    let calm = 0;
    for (let poll = 0; poll < settlePolls && calm < calmPolls; poll++) {
      const sentMs = performance.now();
      await sleep(pollMs);
      const usedMs = this.process.cpuMs - cpuMs;
      cpuMs += usedMs;
      const isCalm = usedMs < (performance.now() - sentMs) * calmShare;
      calm = isCalm ? calm + 1 : 0;
      this.process.measure();
    }
  }

  async close(): Promise<void> {
    for (const crowd of this.#crowds) crowd.close();
    await this.process.close();
    this.store.close();
  }
}
