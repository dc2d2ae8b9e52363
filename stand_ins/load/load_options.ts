import type { CellOptions } from "../../src/core/cell/cell_options.ts";
import type { UnevenLoad } from "./uneven_load.ts";

/** The load that a `LoadModel` plays, and what happens to the cell meanwhile. */
export interface LoadOptions {
  readonly seed: number;
  readonly durationMs: number;
  /** How many workers there are; every third is half as large again. */
  readonly workers: number;
  readonly workerCpuMilli: number;
  readonly services: ServiceLoad;
  readonly plans: PlanLoad;
  readonly checks: CheckLoad;
  /** When a new keeper replaces the one in office. */
  readonly keeperChangesAtMs: readonly number[];
  /** When all workers and the keeper lose power; all runs end. */
  readonly powerLossesAtMs: readonly number[];
  /** The evacuation of one of `zoneCount` data centres, to the end. */
  readonly evacuation?: { readonly atMs: number; readonly zoneCount: number };
  /** Whether a keeper begins with what its predecessor has learned. */
  readonly keepsLearned: boolean;
  /** Whether the first keeper knows all pressures, for an upper bound. */
  readonly knowsPressures: boolean;
  /** Whether the end of each job is predicted, and compared with its end. */
  readonly checksForecast: boolean;
  /** Who submits plans and checks, each at its own entry; none for one party. */
  readonly parties: readonly Party[];
  /** Whether the entries refuse what cannot end in time. */
  readonly admits: boolean;
  /** Whether `ContentionOrder` orders waiting groups. */
  readonly sharesFairly: boolean;
  /** What is uneven; nothing by default. */
  readonly uneven?: Partial<UnevenLoad>;
  /** Changes of the cell's options. */
  readonly cell?: Partial<CellOptions>;
}

interface Party {
  readonly origin: string;
  /** Its share of all plans and checks. */
  readonly share: number;
}

/** Jobs of services, all submitted at the start. */
interface ServiceLoad {
  readonly jobs: number;
  readonly width: number;
  readonly cpuMilli: number;
  readonly images: number;
  /** The mean load that callers put on a service, from 0 to 1. */
  readonly callerLoad: number;
  /** The share by which that load rises and falls in each swing. */
  readonly swing: number;
  readonly swingMs: number;
}

/** Jobs of fillers in steps, each after the one before it. */
interface PlanLoad {
  readonly perS: number;
  readonly steps: number;
  readonly width: number;
  readonly cpuMilli: number;
  readonly taskMs: number;
  readonly images: number;
  /** The share of pairs of images in which the filler slows the service. */
  readonly heavyShare: number;
  /** The highest load that a filler on a whole worker adds to a service. */
  readonly maxPressure: number;
  readonly bursts: readonly Burst[];
}

/** A time during which plans come at a multiple of their rate. */
interface Burst {
  readonly fromMs: number;
  readonly forMs: number;
  readonly factor: number;
}

/** Short jobs that callers wait for. */
interface CheckLoad {
  readonly perS: number;
  readonly width: number;
  readonly cpuMilli: number;
  readonly taskMs: number;
}
