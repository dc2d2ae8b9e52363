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
import type { CellSimulation } from "./cell_simulation.ts";

/** Time after which a call counts as unanswered. */
const answerTimeoutMs = 1_000;

/** A process on virtual time that can be elected keeper of the cell. */
export class SimPeer {
  keeper: Keeper;
  isAlive = true;
  isPaused = false;
  #incarnationNumber = 1;
  #deferred: KeeperEvent[] = [];

  constructor(
    readonly id: PeerId,
    readonly simulation: CellSimulation,
    readonly clock: SimClock,
    readonly options: Omit<KeeperOptions, "self" | "incarnation" | "cell">,
    readonly placer: Placer,
  ) {
    this.keeper = this.#createKeeper();
  }

  /** Restarts the process with empty state. */
  restart(): void {
    this.#incarnationNumber += 1;
    this.isAlive = true;
    this.isPaused = false;
    this.#deferred = [];
    this.keeper = this.#createKeeper();
  }

  /** Resumes a paused process, which then handles the deferred events. */
  resume(): void {
    this.isPaused = false;
    const deferred = this.#deferred;
    this.#deferred = [];
    for (const event of deferred) this.handleEvent(event);
  }

  /** The time on the process's own clock. */
  nowMs(): number {
    return this.clock.at(this.simulation.eventQueue.nowMs);
  }

  /** Passes an event to the keeper and runs the effects that it yields. */
  handleEvent(event: KeeperEvent): void {
    if (!this.isAlive) return;
    if (this.isPaused) {
      if (event.kind !== "tick") this.#deferred.push(event);
      return;
    }
    for (const effect of this.keeper.handle(event, this.nowMs())) {
      this.#runEffect(effect);
    }
  }

  #createKeeper(): Keeper {
    const options = {
      ...this.options,
      self: this.id,
      incarnation: `${this.id}-${this.#incarnationNumber}`,
      cell: "cell" as CellId,
    };
    const wallClock = (): number =>
      Math.floor(this.simulation.eventQueue.nowMs);
    return new Keeper(options, this.placer, wallClock, this.nowMs());
  }

  #runEffect(effect: KeeperEffect): void {
    switch (effect.kind) {
      case "append":
        this.#append(effect.records);
        break;
      case "read":
        this.#read(effect.from);
        break;
      case "apply":
        this.#apply(effect.worker, effect.command);
        break;
      case "keep_alive":
        this.#keepAlive(effect);
        break;
      case "interference":
      case "verdict":
      case "state":
        this.simulation.recordEffect(this.id, effect);
        break;
    }
  }

  #append(records: readonly CellRecord[]): void {
    const startedAtMs = this.nowMs();
    const answer = this.#oneAnswer((first?: number | "refused") => {
      if (typeof first === "number") {
        this.handleEvent({ kind: "appended", startedAtMs, first, records });
        return;
      }
      this.handleEvent({ kind: "append_failed" });
    });
    this.simulation.log.append(this.id, records, answer);
  }

  #read(from: number): void {
    const startedAtMs = this.nowMs();
    const answer = this.#oneAnswer((page?: LogPage | "refused") => {
      if (page === undefined || page === "refused") {
        this.handleEvent({ kind: "read_failed" });
        return;
      }
      if (page.from > from) {
        this.#loadSnapshot(page);
        return;
      }
      const records = page.records as readonly CellRecord[];
      const atEnd = page.from + records.length === page.end;
      const { oldest } = page;
      this.handleEvent({
        kind: "read",
        startedAtMs,
        from,
        records,
        reachedEnd: atEnd,
        oldest,
      });
    });
    this.simulation.log.read(this.id, from, answer);
  }

  /** Restores the ledger from a snapshot where retention cut the log. */
  #loadSnapshot(page: LogPage): void {
    const model = this.simulation.log.model;
    const nowMs = this.simulation.eventQueue.nowMs;
    const retained = model.read("cell", page.from, Infinity, nowMs);
    const finder = new SnapshotFinder();
    for (const record of retained.records) {
      finder.addRecord(record as CellRecord);
    }
    const ledger = finder.restoreNewest();
    const isUsable = ledger !== undefined &&
      ledger.nextOffset >= retained.oldest;
    this.handleEvent(
      isUsable
        ? { kind: "reloaded", ledger: ledger ?? new CellLedger() }
        : { kind: "read_failed" },
    );
  }

  #apply(
    worker: WorkerId,
    order: Extract<KeeperEffect, { kind: "apply" }>["command"],
  ): void {
    this.simulation.callWorker(
      this.id,
      worker,
      order,
      this.#oneAnswer((report?: WorkerAnswer, labels?: Labels) => {
        this.handleEvent(
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
    this.simulation.callPeer(this.id, effect, (pledgeMs) => {
      this.handleEvent({ kind: "pledged", candidate, sentAtMs, pledgeMs });
    });
  }

  /**
   * Wraps a callback so that it runs once: with the first answer, or without
   * arguments after the timeout. Answers to an earlier incarnation are ignored.
   */
  #oneAnswer<A extends unknown[]>(
    done: (...args: Partial<A>) => void,
  ): (...args: A) => void {
    const incarnation = this.#incarnationNumber;
    let isDone = false;
    const finish = (args: Partial<A>): void => {
      if (isDone || incarnation !== this.#incarnationNumber) return;
      isDone = true;
      done(...args);
    };
    const noAnswer = [] as unknown as Partial<A>;
    this.simulation.eventQueue.after(answerTimeoutMs, () => finish(noAnswer));
    return (...args) => finish(args as Partial<A>);
  }
}
