import { jobOfProgressKey } from "../../src/cellhost/job_of_progress_key.ts";
import type { JobProgressRow } from "../../src/core/cell/job_progress_row.ts";
import type { RunId } from "../../src/core/jobs/run_id.ts";
import type { TaskName } from "../../src/core/jobs/task_name.ts";
import type { Row } from "../../src/core/store/row.ts";
import type { KeeperMessage } from "../../src/link/keeper_message.ts";
import type { PeerMessage } from "../../src/link/peer_message.ts";
import type { killPoints } from "./kill_points.ts";
import type { LinkObserver } from "./link_observer.ts";

type KillPoint = (typeof killPoints)[number];

/** Kills a keeper once it reaches a point on the way of a service's task. */
export class KillSwitch {
  armed: KillPoint | undefined;
  /** The runs of services as the store has them, by task. */
  readonly #stored = new Map<TaskName, { run: number; isClaimed: boolean }>();

  constructor(
    readonly isService: (task: TaskName) => boolean,
    readonly onReached: (keeper: number) => void,
  ) {}

  /** Observes the connections of one keeper, by its epoch. */
  observerOf(epoch: number): LinkObserver {
    return {
      onSending: (message) => {
        if (this.#concerns(stopsOf(message))) {
          this.#reach("before the stop leaves", epoch);
        }
      },
      onSent: (message) => {
        if (this.#concerns(stopsOf(message))) {
          this.#reach("after the stop has left", epoch);
        }
        if (this.#concerns(startsOf(message).filter(({ run }) => run > 1))) {
          this.#reach("after the next start has left", epoch);
        }
      },
      onHandled: (message) => {
        if (this.#concerns(endsOf(message))) {
          this.#reach("after the end is reported", epoch);
        }
      },
    };
  }

  /** A runner lists the end of a run. */
  noteListed(end: RunId, epoch: number): void {
    if (this.#concerns([end])) this.#reach("after the end is listed", epoch);
  }

  /** The store has taken rows of the cell's stream; the answer is on its way. */
  noteStored(rows: readonly Row[], epoch: number): void {
    let isEndStored = false;
    let isClaimStored = false;
    for (const [task, run, isClaimed] of this.#runsIn(rows)) {
      const known = this.#stored.get(task) ?? { run: 0, isClaimed: false };
      const isNext = run > known.run;
      isEndStored ||= known.isClaimed && (isNext || !isClaimed);
      isClaimStored ||= isNext && isClaimed && run > 1;
      this.#stored.set(task, { run, isClaimed });
    }
    if (isEndStored) this.#reach("after the end is stored", epoch);
    if (isClaimStored) this.#reach("after the next claim is stored", epoch);
  }

  /** The runs of services in progress rows, and whether each has a claim. */
  *#runsIn(
    rows: readonly Row[],
  ): Generator<[task: TaskName, run: number, isClaimed: boolean]> {
    for (const { key, value } of rows) {
      const job = jobOfProgressKey(key);
      if (job === undefined || value === undefined) continue;
      const { o: open } = JSON.parse(value) as JobProgressRow;
      for (const [occurrence, groups] of open) {
        for (const [step, group] of groups.entries()) {
          if (typeof group === "number") continue;
          for (const [index, row] of group.entries()) {
            const task = `${job}.${occurrence}.${step}.${index}` as TaskName;
            if (typeof row === "number" || !this.isService(task)) continue;
            yield [task, row[0], typeof row[3] === "number"];
          }
        }
      }
    }
  }

  #concerns(runs: readonly RunId[]): boolean {
    return runs.some(({ task }) => this.isService(task));
  }

  #reach(point: KillPoint, epoch: number): void {
    if (this.armed !== point) return;
    this.armed = undefined;
    this.onReached(epoch);
  }
}

function stopsOf(message: KeeperMessage): readonly RunId[] {
  return message.kind === "orders" ? message.stops : [];
}

function startsOf(message: KeeperMessage): readonly RunId[] {
  return message.kind === "orders" ? message.starts : [];
}

function endsOf(message: PeerMessage): readonly RunId[] {
  return message.kind === "report" ? message.report.ends : [];
}
