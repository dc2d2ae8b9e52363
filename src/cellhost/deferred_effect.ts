import type { CellEffect } from "../core/cell/cell_effect.ts";

/** An effect that waits until the rows saved before it are stored. */
export type DeferredEffect = Extract<
  CellEffect,
  { kind: "start" | "forget" | "show" }
>;
