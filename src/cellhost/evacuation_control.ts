import type { Cell } from "../core/cell/cell.ts";
import { runKey } from "../core/jobs/run_key.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import { EvacuationPlanner } from "../core/evacuate/evacuation_planner.ts";
import { EvacuationGuard } from "../core/evacuate/evacuation_guard.ts";
import { EvacuationProgress } from "./evacuation_progress.ts";
import type { DeferredEffect } from "./deferred_effect.ts";
import type { KeeperSessionOptions } from "./keeper_session_options.ts";

type Options = Pick<
  KeeperSessionOptions,
  "clock" | "links" | "log" | "metrics" | "operatorRead" | "writer"
>;

/**
 * Carries out the evacuations of a keeper's session: holds starts back while
 * the operator's stream was not read recently, and tells sidecars whether their
 * data centre is evacuated.
 */
export class EvacuationControl {
  readonly progress: EvacuationProgress;
  readonly #guard: EvacuationGuard;
  /** The starts that wait, by run. */
  readonly #held = new Map<string, DeferredEffect>();
  /** What each sidecar that has reported on its connection was last told. */
  readonly #told = new Map<NodeId, boolean | undefined>();
  #isHolding = false;

  constructor(
    readonly cell: Cell,
    readonly options: Options,
    evacuateMs: number,
  ) {
    this.progress = new EvacuationProgress(cell, options);
    this.#guard = new EvacuationGuard(evacuateMs);
    cell.evacuationPlanner = new EvacuationPlanner(evacuateMs);
  }

  /** How old the newest read of the operator's stream is. */
  get ageMs(): number {
    const { clock, operatorRead } = this.options;
    return this.#guard.ageMs(operatorRead?.(), clock.nowMs(), clock.wallMs());
  }

  /**
   * Handles a sidecar's report. Returns the field of its lease renewal; none if
   * the stream was never read. An age lets starts go on, so an evacuation is
   * told first.
   */
  recordReport(node: NodeId): { readonly operatorAgeMs?: number } {
    if (!this.#told.has(node)) this.#told.set(node, undefined);
    this.tellSidecars();
    const { ageMs } = this;
    return Number.isFinite(ageMs) ? { operatorAgeMs: ageMs } : {};
  }

  /** Whether starts wait that may be sent now. */
  get hasDueStarts(): boolean {
    return this.#held.size > 0 && this.#guard.mayStart(this.ageMs);
  }

  /** Returns the effects that may be executed now; holds the other starts. */
  release(effects: readonly DeferredEffect[]): readonly DeferredEffect[] {
    const { ageMs } = this;
    const mayStart = this.#guard.mayStart(ageMs);
    const released: DeferredEffect[] = mayStart ? [...this.#held.values()] : [];
    if (mayStart) this.#held.clear();
    for (const effect of effects) {
      if (mayStart || effect.kind !== "start") released.push(effect);
      else this.#hold(effect);
    }
    if (mayStart === this.#isHolding) this.#logHolding(!mayStart, ageMs);
    return released;
  }

  /** Acts on what has changed since the last tick. */
  update(): void {
    this.options.metrics.setGauge("operator_rows_age_ms", this.ageMs);
    this.tellSidecars();
    this.progress.update();
  }

  /** Tells each connected sidecar whether its data centre is evacuated. */
  tellSidecars(): void {
    const { ageMs } = this;
    const isFresh = this.#guard.mayStart(ageMs);
    for (const [node, told] of this.#told) {
      const { isEvacuated } = this.cell.worker(node);
      if (told === isEvacuated) continue;
      // An earlier keeper may have read of an evacuation that is unknown here.
      if (!isEvacuated && !isFresh) continue;
      this.#told.set(node, isEvacuated);
      this.options.links.send(node, { kind: "evacuated", isEvacuated });
    }
  }

  /** Forgets what a sidecar was told, since its connection is lost. */
  forget(node: NodeId): void {
    this.#told.delete(node);
  }

  #hold(effect: Extract<DeferredEffect, { kind: "start" }>): void {
    const key = runKey(effect.command);
    if (!this.#held.has(key)) this.options.metrics.count("starts_held");
    this.#held.set(key, effect);
  }

  #logHolding(isHolding: boolean, ageMs: number): void {
    if (isHolding && this.#held.size === 0) return;
    this.#isHolding = isHolding;
    const age = Math.round(ageMs);
    if (isHolding) {
      this.options.log.warn("starts_held", { age, held: this.#held.size });
    } else this.options.log.info("starts_released", { age });
  }
}
