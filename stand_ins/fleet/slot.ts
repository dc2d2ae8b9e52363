import type { ManagedProcess } from "./managed_process.ts";

/** The processes of one host: a sidecar with its runner and its worker. */
export interface Slot {
  readonly sidecar: ManagedProcess;
  readonly runner: ManagedProcess;
  readonly worker: ManagedProcess;
  readonly runnerPort: number;
  readonly workerPort: number;
  /** Admin ports of the fault proxies; undefined without a proxy. */
  readonly runnerProxyAdmin: number | undefined;
  readonly workerProxyAdmin: number | undefined;
  readonly sidecarProxyAdmin: number | undefined;
}
