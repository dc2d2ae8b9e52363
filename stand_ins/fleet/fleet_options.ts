/** The size and the surroundings of a fleet. */
export interface FleetOptions {
  readonly dataCentre: string;
  readonly service: string;
  readonly runners: number;
  readonly entries: number;
  readonly cores: number;
  readonly memoryGb: number;
  readonly meanMs: number;
  /** Another bundle in place of the product's own. */
  readonly product?: string;
  /** Flags for the processes of the product, in place of the usual ones. */
  readonly flags?: readonly string[];
  /** Puts a fault proxy between these parties. */
  readonly proxies: {
    readonly log?: boolean;
    readonly runners?: boolean;
    readonly workers?: boolean;
    readonly sidecars?: boolean;
  };
}
