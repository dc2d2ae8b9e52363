import type { Cell } from "../core/cell/cell.ts";
import type { CellEffect } from "../core/cell/cell_effect.ts";
import { countEvacuatedTasks } from "../core/evacuate/count_evacuated_tasks.ts";
import type { EvacuationRow } from "../core/evacuate/evacuation_row.ts";
import { evacuationRowKey } from "./evacuation_row_key.ts";
import type { KeeperSessionOptions } from "./keeper_session_options.ts";

type Options = Pick<
  KeeperSessionOptions,
  "clock" | "log" | "metrics" | "writer"
>;

/**
 * Applies evacuations to a keeper's cell, and logs, counts and stores how far
 * they are.
 */
export class EvacuationProgress {
  /** Since when each data centre is evacuated, by the wall clock. */
  #zones: ReadonlyMap<string, number> = new Map();
  readonly #cleared = new Set<string>();
  #stored = "";
  #isNoneOpen = false;

  constructor(readonly cell: Cell, readonly options: Options) {}

  /** Evacuates these data centres, and no others. */
  *apply(zones: ReadonlyMap<string, number>): Generator<CellEffect, void> {
    const { clock, log } = this.options;
    const added = [...zones.keys()].filter((zone) => !this.#zones.has(zone));
    this.#zones = zones;
    for (const zone of this.#cleared) {
      if (!zones.has(zone)) this.#cleared.delete(zone);
    }
    const before = this.#tasksIn(added);
    const names = new Set(zones.keys());
    const effects = [...this.cell.setEvacuations(names, clock.nowMs())];
    yield* effects;
    const after = this.#tasksIn(added);
    for (const zone of added) {
      const tasks = before.get(zone) ?? 0;
      const released = tasks - (after.get(zone) ?? 0);
      const stopped = effects.filter((effect) =>
        effect.kind === "stop" && this.#zoneOf(effect) === zone
      ).length;
      log.info("evacuation_applied", { zone, tasks, released, stopped });
      if (!this.#isKnown(zone)) {
        log.warn("evacuation_zone_unknown", { zone });
      }
    }
  }

  /** Records what is left in the evacuated data centres. */
  update(): void {
    if (this.#zones.size === 0 && this.#isStored) return;
    const { log, metrics } = this.options;
    const { workers } = this.cell;
    const counts = countEvacuatedTasks(workers.values(), this.#zones.keys());
    let tasks = 0;
    for (const [zone, count] of counts ?? []) {
      tasks += count;
      if (count > 0) this.#cleared.delete(zone);
      else if (!this.#cleared.has(zone)) {
        this.#cleared.add(zone);
        log.info("evacuation_cleared", { zone });
      }
    }
    if (counts !== undefined) metrics.setGauge("evacuated_tasks", tasks);
    this.#warnIfNoneOpen();
    this.#store();
  }

  #warnIfNoneOpen(): void {
    const reported = [...this.cell.workers.values()]
      .filter(({ report }) => report !== undefined);
    const isNoneOpen = reported.length > 0 &&
      reported.every(({ isEvacuated }) => isEvacuated);
    if (isNoneOpen && !this.#isNoneOpen) {
      const zones = [...this.#zones.keys()].join();
      this.options.log.warn("evacuation_leaves_no_worker", { zones });
    }
    this.#isNoneOpen = isNoneOpen;
  }

  /** Stores the row if it has changed, and once in each session. */
  #store(): void {
    if (this.#isStored) return;
    const value = this.#encode();
    this.#stored = value;
    this.options.writer.write([{ key: evacuationRowKey, value }], () => {});
  }

  get #isStored(): boolean {
    return this.#encode() === this.#stored;
  }

  #encode(): string {
    const row: EvacuationRow = {
      zones: [...this.#zones].map(([zone, sinceMs]) => ({
        zone,
        sinceMs,
        isCleared: this.#cleared.has(zone),
      })),
    };
    return JSON.stringify(row);
  }

  #tasksIn(zones: readonly string[]): ReadonlyMap<string, number> {
    return countEvacuatedTasks(this.cell.workers.values(), zones) ?? new Map();
  }

  #zoneOf({ node }: Extract<CellEffect, { kind: "stop" }>): string | undefined {
    return this.cell.worker(node).report?.zone;
  }

  /** Whether a worker reports from there, or none has reported yet. */
  #isKnown(zone: string): boolean {
    const zones = [...this.cell.workers.values()]
      .flatMap(({ report }) => report === undefined ? [] : [report.zone]);
    return zones.length === 0 || zones.includes(zone);
  }
}
