import type { CellId } from "../../src/schema/cell_id.ts";
import type { PeerId } from "../../src/schema/peer_id.ts";
import type { Labels } from "../../src/schema/labels.ts";
import type { WorkerId } from "../../src/schema/worker_id.ts";
import type { CellRecord } from "../../src/core/fold/cell_record.ts";
import { CellLedger } from "../../src/core/fold/cell_ledger.ts";
import { SnapshotFinder } from "../../src/core/fold/snapshot_finder.ts";
import { Keeper } from "../../src/core/keep/keeper.ts";
import type { KeeperEffect } from "../../src/core/keep/keeper_effect.ts";
import type { KeeperEvent } from "../../src/core/keep/keeper_event.ts";
import type { KeeperOptions } from "../../src/core/keep/keeper_options.ts";
import type { LogPage } from "../../src/core/log/log_page.ts";
import type { Placer } from "../../src/core/place/placer.ts";
import type { WorkerAnswer } from "../../src/core/worker/worker_answer.ts";
import type { SimClock } from "./sim_clock.ts";
import type { World } from "./world.ts";

const answerTimeoutMs = 1_000;

/** A process on virtual time that may keep the cell. */
export class SimPeer {
  keeper: Keeper;
  isAlive = true;
  isPaused = false;
  #lives = 1;
  #held: KeeperEvent[] = [];

  constructor(
    readonly id: PeerId,
    readonly world: World,
    readonly clock: SimClock,
    readonly options: Omit<KeeperOptions, "self" | "incarnation" | "cell">,
    readonly placer: Placer,
  ) {
    this.keeper = this.#newKeeper();
  }

  /** Starts the process anew, with nothing kept. */
  restart(): void {
    this.#lives += 1;
    this.isAlive = true;
    this.isPaused = false;
    this.#held = [];
    this.keeper = this.#newKeeper();
  }

  /** Lets a paused process go on; it then hears what came in meanwhile. */
  resume(): void {
    this.isPaused = false;
    const held = this.#held;
    this.#held = [];
    for (const event of held) this.hear(event);
  }

  /** The process's own clock. */
  nowMs(): number {
    return this.clock.at(this.world.scheduler.nowMs);
  }

  /** Hands an event to the keeper and carries out what it asks for. */
  hear(event: KeeperEvent): void {
    if (!this.isAlive) return;
    if (this.isPaused) {
      if (event.kind !== "tick") this.#held.push(event);
      return;
    }
    for (const effect of this.keeper.handle(event, this.nowMs())) {
      this.#carryOut(effect);
    }
  }

  #newKeeper(): Keeper {
    const options = {
      ...this.options,
      self: this.id,
      incarnation: `${this.id}-${this.#lives}`,
      cell: "cell" as CellId,
    };
    const wallClock = (): number => Math.floor(this.world.scheduler.nowMs);
    return new Keeper(options, this.placer, wallClock, this.nowMs());
  }

  #carryOut(effect: KeeperEffect): void {
    switch (effect.kind) {
      case "append":
        this.#append(effect.records);
        break;
      case "read":
        this.#read(effect.from);
        break;
      case "apply":
        this.#apply(effect.worker, effect.order);
        break;
      case "keep_alive":
        this.#keepAlive(effect);
        break;
      case "interference":
      case "verdict":
      case "state":
        this.world.note(this.id, effect);
        break;
    }
  }

  #append(records: readonly CellRecord[]): void {
    const startedAtMs = this.nowMs();
    const answer = this.#once((first?: number | "refused") => {
      if (typeof first === "number") {
        this.hear({ kind: "appended", startedAtMs, first, records });
        return;
      }
      this.hear({ kind: "append_failed" });
    });
    this.world.log.append(this.id, records, answer);
  }

  #read(from: number): void {
    const startedAtMs = this.nowMs();
    const answer = this.#once((page?: LogPage | "refused") => {
      if (page === undefined || page === "refused") {
        this.hear({ kind: "read_failed" });
        return;
      }
      if (page.from > from) {
        this.#reload(page);
        return;
      }
      const records = page.records as readonly CellRecord[];
      const atEnd = page.from + records.length === page.end;
      const { oldest } = page;
      this.hear({ kind: "read", startedAtMs, from, records, atEnd, oldest });
    });
    this.world.log.read(this.id, from, answer);
  }

  /** What lies before the oldest record is taken from a snapshot. */
  #reload(page: LogPage): void {
    const model = this.world.log.model;
    const nowMs = this.world.scheduler.nowMs;
    const all = model.read("cell", page.from, Infinity, nowMs);
    const finder = new SnapshotFinder();
    for (const record of all.records) finder.see(record as CellRecord);
    const ledger = finder.load();
    const isWhole = ledger !== undefined && ledger.next >= all.oldest;
    this.hear(
      isWhole
        ? { kind: "reloaded", ledger: ledger ?? new CellLedger() }
        : { kind: "read_failed" },
    );
  }

  #apply(
    worker: WorkerId,
    order: Extract<KeeperEffect, { kind: "apply" }>["order"],
  ): void {
    this.world.callWorker(
      this.id,
      worker,
      order,
      this.#once((report?: WorkerAnswer, labels?: Labels) => {
        this.hear(
          report === undefined
            ? { kind: "unreachable", worker }
            : { kind: "report", report, labels: labels ?? {} },
        );
      }),
    );
  }

  #keepAlive(effect: Extract<KeeperEffect, { kind: "keep_alive" }>): void {
    const sentAtMs = this.nowMs();
    const { candidate } = effect;
    this.world.callPeer(this.id, effect, (pledgeMs) => {
      this.hear({ kind: "pledged", candidate, sentAtMs, pledgeMs });
    });
  }

  /** Calls back once: with the answer, or with nothing after a timeout. */
  #once<A extends unknown[]>(
    done: (...args: Partial<A>) => void,
  ): (...args: A) => void {
    const life = this.#lives;
    let isOver = false;
    const finish = (args: Partial<A>): void => {
      if (isOver || life !== this.#lives) return;
      isOver = true;
      done(...args);
    };
    const nothing = [] as unknown as Partial<A>;
    this.world.scheduler.after(answerTimeoutMs, () => finish(nothing));
    return (...args) => finish(args as Partial<A>);
  }
}
