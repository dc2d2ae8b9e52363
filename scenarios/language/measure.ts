import type { World } from "../world/world.ts";

/** Reads one figure of a world for an `expect` statement. */
export type Measure = (world: World, name: string) => number;
