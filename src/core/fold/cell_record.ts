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

interface KeeperRecord {
  readonly epoch: number;
}

interface AttemptRecord extends KeeperRecord {
  readonly task: TaskId;
  readonly attempt: number;
}

/** One record of a cell's stream: a proposal that the fold accepts or voids. */
export type CellRecord =
  & { readonly atMs: number; readonly by: PeerId }
  & (
    | {
      readonly kind: "epoch";
      readonly number: number;
      /** The start of the process that is the keeper in this epoch. */
      readonly incarnation: string;
      readonly candidates: readonly PeerId[];
    }
    | (KeeperRecord & {
      readonly kind: "worker";
      readonly worker: WorkerId;
      readonly bootId: string;
      readonly capacity: Resources;
      readonly labels: Labels;
    })
    | (KeeperRecord & {
      readonly kind: "worker_gone";
      readonly worker: WorkerId;
    })
    | { readonly kind: "submitted"; readonly job: Job }
    | { readonly kind: "cancelled"; readonly job: JobId }
    | (AttemptRecord & {
      readonly kind: "claimed";
      readonly worker: WorkerId;
      readonly reserved: Resources;
    })
    | (AttemptRecord & {
      readonly kind: "released";
      readonly reason: ReleaseReason;
      readonly checkpoint?: string;
    })
    | (AttemptRecord & { readonly kind: "reclaimed" })
    | (AttemptRecord & { readonly kind: "failed"; readonly detail: string })
    | (AttemptRecord & { readonly kind: "finished"; readonly result: string })
    | (KeeperRecord & {
      readonly kind: "moved";
      readonly job: JobId;
      readonly to: CellId;
    })
    | (KeeperRecord & { readonly kind: "arrived"; readonly job: JobId })
    | (KeeperRecord & { readonly kind: "forgotten"; readonly job: JobId })
    | (KeeperRecord & {
      readonly kind: "snapshot";
      readonly id: string;
      readonly part: number;
      readonly parts: number;
      /** The offset up to which the snapshot covers the stream. */
      readonly covers: number;
      readonly image: CellImage;
    })
  );
