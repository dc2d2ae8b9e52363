import type { ManagedProcess } from "./managed_process.ts";

/** The processes of one host: a sidecar with its runner and its worker. */
export interface FleetHost {
  readonly sidecar: ManagedProcess;
  readonly runner: ManagedProcess;
  readonly worker: ManagedProcess;
  readonly runnerPort: number;
  readonly workerPort: number;
  /** Admin ports of the fault proxies; undefined without a proxy. */
  readonly runnerProxyAdminPort: number | undefined;
  readonly workerProxyAdminPort: number | undefined;
  readonly sidecarProxyAdminPort: number | undefined;
}
