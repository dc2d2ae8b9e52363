/** Size, seed and settings of a simulated cell. */
export interface CellSimulationOptions {
  readonly seed: number;
  readonly workers: number;
  readonly peers: number;
  /** Resources of each worker. */
  readonly cores: number;
  readonly memoryGb: number;
  readonly accelerators: number;
  readonly racks: number;
  readonly placer: "spread-fit" | "first-fit" | "random-fit";
  /** Virtual time between the ticks of all peers and workers. */
  readonly tickMs: number;
  readonly recordsPerSnapshot: number;
  readonly claimsPerSecond: number;
}
