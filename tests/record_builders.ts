import type { CellId } from "../src/schema/cell_id.ts";
import type { Job } from "../src/schema/job.ts";
import type { JobId } from "../src/schema/job_id.ts";
import type { MemberId } from "../src/schema/member_id.ts";
import type { PeerId } from "../src/schema/peer_id.ts";
import type { TaskId } from "../src/schema/task_id.ts";
import type { WorkerId } from "../src/schema/worker_id.ts";
import type { CellRecord } from "../src/core/fold/cell_record.ts";
import type { ReleaseReason } from "../src/core/fold/release_reason.ts";

const by = "p1" as PeerId;
const epoch = 1;

/** Builds records for tests, with defaults for fields that do not matter. */
export const recordBuilders = {
  epoch: (number: number, peer: string, candidates: string[]): CellRecord => ({
    kind: "epoch",
    number,
    incarnation: `${peer}-1`,
    candidates: candidates as PeerId[],
    by: peer as PeerId,
    atMs: 0,
  }),
  worker: (id: string, cores: number, bootId = "b1"): CellRecord => ({
    kind: "worker",
    worker: id as WorkerId,
    bootId,
    capacity: { cpuMilli: cores * 1_000, memoryBytes: 100, accelerators: 0 },
    labels: { rack: "r1" },
    by,
    epoch,
    atMs: 0,
  }),
  workerGone: (id: string): CellRecord => ({
    kind: "worker_gone",
    worker: id as WorkerId,
    by,
    epoch,
    atMs: 0,
  }),
  submitted: (id: string, overrides: Partial<Job> = {}): CellRecord => ({
    kind: "submitted",
    job: {
      id: id as JobId,
      member: "m1" as MemberId,
      template: "t",
      pool: "p",
      term: "term",
      urgent: false,
      tasks: 1,
      needs: { cpuMilli: 1_000, memoryBytes: 1, accelerators: 0 },
      workers: [],
      runMs: 1_000,
      maxAttempts: 2,
      maxEvictions: 1,
      endsAtMs: 1_000_000,
      input: null,
      ...overrides,
    },
    by: "entry" as PeerId,
    atMs: 0,
  }),
  cancelled: (id: string): CellRecord => ({
    kind: "cancelled",
    job: id as JobId,
    by,
    atMs: 0,
  }),
  claimed: (
    task: string,
    attempt: number,
    worker: string,
    cores = 1,
    peer = "p1",
    inEpoch = epoch,
  ): CellRecord => ({
    kind: "claimed",
    task: task as TaskId,
    attempt,
    worker: worker as WorkerId,
    reserved: { cpuMilli: cores * 1_000, memoryBytes: 1, accelerators: 0 },
    by: peer as PeerId,
    epoch: inEpoch,
    atMs: 10_000,
  }),
  released: (
    task: string,
    attempt: number,
    reason: ReleaseReason,
    checkpoint = "c",
  ): CellRecord => ({
    kind: "released",
    task: task as TaskId,
    attempt,
    reason,
    checkpoint,
    by,
    epoch,
    atMs: 20_000,
  }),
  reclaimed: (task: string, attempt: number): CellRecord => ({
    kind: "reclaimed",
    task: task as TaskId,
    attempt,
    by,
    epoch,
    atMs: 20_000,
  }),
  failed: (task: string, attempt: number): CellRecord => ({
    kind: "failed",
    task: task as TaskId,
    attempt,
    detail: "exit status 1",
    by,
    epoch,
    atMs: 20_000,
  }),
  finished: (task: string, attempt: number): CellRecord => ({
    kind: "finished",
    task: task as TaskId,
    attempt,
    result: "done",
    by,
    epoch,
    atMs: 20_000,
  }),
  moved: (id: string): CellRecord => ({
    kind: "moved",
    job: id as JobId,
    to: "other" as CellId,
    by,
    epoch,
    atMs: 0,
  }),
  arrived: (id: string): CellRecord => ({
    kind: "arrived",
    job: id as JobId,
    by,
    epoch,
    atMs: 0,
  }),
  forgotten: (id: string): CellRecord => ({
    kind: "forgotten",
    job: id as JobId,
    by,
    epoch,
    atMs: 0,
  }),
};
