import type { DeferredEffect } from "./deferred_effect.ts";

/**
 * Whether effects may be executed only after an append, even if no row has to
 * be stored: without one the store would not confirm that this keeper, which
 * lets a runner forget an end, has not been deposed.
 */
export function needsConfirmation(effects: readonly DeferredEffect[]): boolean {
  return effects.some(({ kind }) => kind === "forget");
}
