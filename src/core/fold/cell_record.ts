import type { CellId } from "../../schema/cell_id.ts";
import type { Job } from "../../schema/job.ts";
import type { JobId } from "../../schema/job_id.ts";
import type { Labels } from "../../schema/labels.ts";
import type { PeerId } from "../../schema/peer_id.ts";
import type { Resources } from "../../schema/resources.ts";
import type { TaskId } from "../../schema/task_id.ts";
import type { WorkerId } from "../../schema/worker_id.ts";
import type { CellImage } from "./cell_image.ts";
import type { ReleaseReason } from "./release_reason.ts";

interface ByKeeper {
  readonly epoch: number;
}

interface OfAttempt extends ByKeeper {
  readonly task: TaskId;
  readonly attempt: number;
}

/** One record of a cell's stream: a proposal that the fold judges. */
export type CellRecord =
  & { readonly atMs: number; readonly by: PeerId }
  & (
    | {
      readonly kind: "epoch";
      readonly number: number;
      /** The life of the process that will keep this epoch. */
      readonly incarnation: string;
      readonly candidates: readonly PeerId[];
    }
    | (ByKeeper & {
      readonly kind: "worker";
      readonly worker: WorkerId;
      readonly bootId: string;
      readonly capacity: Resources;
      readonly labels: Labels;
    })
    | (ByKeeper & { readonly kind: "worker_gone"; readonly worker: WorkerId })
    | { readonly kind: "submitted"; readonly job: Job }
    | { readonly kind: "cancelled"; readonly job: JobId }
    | (OfAttempt & {
      readonly kind: "claimed";
      readonly worker: WorkerId;
      readonly reserved: Resources;
    })
    | (OfAttempt & {
      readonly kind: "released";
      readonly reason: ReleaseReason;
      readonly checkpoint?: string;
    })
    | (OfAttempt & { readonly kind: "reclaimed" })
    | (OfAttempt & { readonly kind: "failed"; readonly detail: string })
    | (OfAttempt & { readonly kind: "finished"; readonly result: string })
    | (ByKeeper & {
      readonly kind: "moved";
      readonly job: JobId;
      readonly to: CellId;
    })
    | (ByKeeper & { readonly kind: "arrived"; readonly job: JobId })
    | (ByKeeper & { readonly kind: "forgotten"; readonly job: JobId })
    | (ByKeeper & {
      readonly kind: "snapshot";
      readonly id: string;
      readonly part: number;
      readonly parts: number;
      readonly covers: number;
      readonly image: CellImage;
    })
  );
