/** The size of a fleet and the processes that it consists of. */
export interface FleetOptions {
  readonly dataCentre: string;
  /** The service of all runners. */
  readonly service: string;
  readonly runners: number;
  readonly entries: number;
  /** Capacity of each worker. */
  readonly cores: number;
  readonly memoryGb: number;
  /** Mean time that a runner takes to serve a request. */
  readonly meanMs: number;
  /** Path of a bundle to run instead of the default build. */
  readonly bundlePath?: string;
  /** Node.js flags for entries and sidecars, instead of the defaults. */
  readonly flags?: readonly string[];
  /** In front of which processes a fault proxy runs. */
  readonly proxies: {
    readonly log?: boolean;
    readonly runners?: boolean;
    readonly workers?: boolean;
    readonly sidecars?: boolean;
  };
}
