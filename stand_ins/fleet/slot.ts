import type { ManagedProcess } from "./managed_process.ts";

/** A sidecar with the runner and the worker beside it. */
export interface Slot {
  readonly sidecar: ManagedProcess;
  readonly runner: ManagedProcess;
  readonly worker: ManagedProcess;
  readonly runnerPort: number;
  readonly workerPort: number;
  readonly runnerProxyAdmin: number | undefined;
  readonly workerProxyAdmin: number | undefined;
  readonly sidecarProxyAdmin: number | undefined;
}
