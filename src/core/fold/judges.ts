import { accepted } from "./accepted.ts";
import type { CellRecord } from "./cell_record.ts";
import type { Judge } from "./judge.ts";
import { judgeArrived } from "./judge_arrived.ts";
import { judgeCancelled } from "./judge_cancelled.ts";
import { judgeClaimed } from "./judge_claimed.ts";
import { judgeEpoch } from "./judge_epoch.ts";
import { judgeFailed } from "./judge_failed.ts";
import { judgeFinished } from "./judge_finished.ts";
import { judgeForgotten } from "./judge_forgotten.ts";
import { judgeMoved } from "./judge_moved.ts";
import { judgeReclaimed } from "./judge_reclaimed.ts";
import { judgeReleased } from "./judge_released.ts";
import { judgeSubmitted } from "./judge_submitted.ts";
import { judgeWorker } from "./judge_worker.ts";
import { judgeWorkerGone } from "./judge_worker_gone.ts";

/** The handler of each kind of record. */
export const judges: { readonly [K in CellRecord["kind"]]: Judge<K> } = {
  epoch: judgeEpoch,
  worker: judgeWorker,
  worker_gone: judgeWorkerGone,
  submitted: judgeSubmitted,
  cancelled: judgeCancelled,
  claimed: judgeClaimed,
  released: judgeReleased,
  reclaimed: judgeReclaimed,
  failed: judgeFailed,
  finished: judgeFinished,
  moved: judgeMoved,
  arrived: judgeArrived,
  forgotten: judgeForgotten,
  snapshot: () => accepted,
};
