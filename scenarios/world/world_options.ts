/** The size and the chances of a world. */
export interface WorldOptions {
  readonly seed: number;
  readonly workers: number;
  readonly peers: number;
  readonly cores: number;
  readonly memoryGb: number;
  readonly accelerators: number;
  readonly racks: number;
  readonly placer: "spread-fit" | "first-fit" | "random-fit";
  readonly tickMs: number;
  readonly recordsPerSnapshot: number;
  readonly claimsPerSecond: number;
}
