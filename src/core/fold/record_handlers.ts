import { accepted } from "./accepted.ts";
import type { CellRecord } from "./cell_record.ts";
import type { RecordHandler } from "./record_handler.ts";
import { applyArrived } from "./apply_arrived.ts";
import { applyCancelled } from "./apply_cancelled.ts";
import { applyClaimed } from "./apply_claimed.ts";
import { applyEpoch } from "./apply_epoch.ts";
import { applyFailed } from "./apply_failed.ts";
import { applyFinished } from "./apply_finished.ts";
import { applyForgotten } from "./apply_forgotten.ts";
import { applyMoved } from "./apply_moved.ts";
import { applyReclaimed } from "./apply_reclaimed.ts";
import { applyReleased } from "./apply_released.ts";
import { applySubmitted } from "./apply_submitted.ts";
import { applyWorker } from "./apply_worker.ts";
import { applyWorkerGone } from "./apply_worker_gone.ts";

/** The handler of each kind of record. */
export const recordHandlers: {
  readonly [K in CellRecord["kind"]]: RecordHandler<K>;
} = {
  epoch: applyEpoch,
  worker: applyWorker,
  worker_gone: applyWorkerGone,
  submitted: applySubmitted,
  cancelled: applyCancelled,
  claimed: applyClaimed,
  released: applyReleased,
  reclaimed: applyReclaimed,
  failed: applyFailed,
  finished: applyFinished,
  moved: applyMoved,
  arrived: applyArrived,
  forgotten: applyForgotten,
  snapshot: () => accepted,
};
