import { applyRecord } from "../src/core/fold/apply_record.ts";
import { CellLedger } from "../src/core/fold/cell_ledger.ts";
import type { CellRecord } from "../src/core/fold/cell_record.ts";
import { imageParts } from "../src/core/fold/image_parts.ts";
import { InterferenceController } from "../src/core/interfere/interference_controller.ts";
import { interferenceOptionsFor } from "../src/core/interfere/interference_options_for.ts";
import { ClaimPlanner } from "../src/core/keep/claim_planner.ts";
import { workerOps } from "../src/core/keep/worker_ops.ts";
import { SpreadFit } from "../src/core/place/spread_fit.ts";
import type { WorkerCommand } from "../src/core/worker/worker_command.ts";
import type { Job } from "../src/schema/job.ts";
import type { JobId } from "../src/schema/job_id.ts";
import type { MemberId } from "../src/schema/member_id.ts";
import type { PeerId } from "../src/schema/peer_id.ts";
import type { WorkerId } from "../src/schema/worker_id.ts";
import { WorkerModel } from "../stand_ins/worker/worker_model.ts";
import { SeededRandom } from "../stand_ins/seeded_random.ts";

const cellSizes = [16, 64, 128, 256];
const runningPerWorker = 12;
/** Each round submits, places and finishes one job of this many tasks. */
const startsPerRound = 5;
const rounds = 400;
const warmUpRounds = 100;
const roundMs = 200;
const tasksPerJob = 10;
const bytesPerGb = 2 ** 30;
const microsPerMs = 1_000;

const by = "sidecar-1" as PeerId;
const head = { atMs: 1_796_330_707_210, by, epoch: 1 };
const capacity = {
  cpuMilli: 64_000,
  memoryBytes: 256 * bytesPerGb,
  accelerators: 2,
};

/**
 * Prints the cost of the ledger, of placement and of exchanges with workers, by
 * the size of the cell.
 */
function main(): void {
  for (const size of cellSizes) measure(size);
}

function measure(size: number): void {
  const heapBefore = usedHeapBytes();
  const ledger = createLedger(size);
  const tasks = ledger.tasks.size;
  const heapPerTask = (usedHeapBytes() - heapBefore) / tasks;
  const round = new ClaimPlanner(
    new SpreadFit(new SeededRandom(1)),
    new InterferenceController(interferenceOptionsFor(1, 0)),
    1e9,
    1e9,
  );
  let placeMs = 0;
  let foldMs = 0;
  let records = 0;
  let bytes = 0;
  let claims = 0;
  for (let n = -warmUpRounds; n < rounds; n++) {
    apply(ledger, submittedRecord(`new${n}`, startsPerRound));
    const placeStartedMs = performance.now();
    const proposed = [
      ...round.propose(
        ledger,
        () => true,
        () => 0.1,
        head,
        (n + warmUpRounds) * roundMs,
      ),
    ];
    const placeEndedMs = performance.now();
    const finished = proposed.map((claim) => finishedRecord(claim));
    const roundRecords = [...proposed, ...finished];
    const foldStartedMs = performance.now();
    for (const record of roundRecords) apply(ledger, record);
    const foldEndedMs = performance.now();
    apply(ledger, { ...head, kind: "forgotten", job: `new${n}` as JobId });
    if (n < 0) continue;
    placeMs += placeEndedMs - placeStartedMs;
    foldMs += foldEndedMs - foldStartedMs;
    claims += proposed.length;
    records += roundRecords.length;
    bytes += JSON.stringify(roundRecords).length;
  }
  const sync = measureExchanges(ledger);
  const snapshot = [...imageParts(ledger, 200)]
    .reduce((sum, image) => sum + JSON.stringify(image).length, 0);
  console.log(
    [
      `workers=${size}`,
      `tasks=${tasks}`,
      `placeUsPerStart=${(placeMs * microsPerMs / claims).toFixed(1)}`,
      `foldUsPerRecord=${(foldMs * microsPerMs / records).toFixed(2)}`,
      `logBytesPerStart=${(bytes / claims).toFixed(0)}`,
      `heapBytesPerTask=${heapPerTask.toFixed(0)}`,
      `snapshotBytesPerTask=${(snapshot / tasks).toFixed(0)}`,
      `syncUsPerWorker=${sync.us.toFixed(1)}`,
      `syncShortBytes=${sync.shortBytes}`,
      `syncFullBytes=${sync.bytes.toFixed(0)}`,
    ].join(" "),
  );
}

/** Repeats the exchange with each worker: read its report, send an order. */
function measureExchanges(
  ledger: CellLedger,
): { us: number; bytes: number; shortBytes: number } {
  const repeats = 20;
  let bytes = 0;
  let elapsedMs = 0;
  const workers = [...ledger.workers.values()];
  const models = workers.map(({ id }) => new WorkerModel(id, "b1", capacity));
  const noIntent = {
    isStopping: () => false,
    isGivenUp: () => false,
    shareOf: () => 1,
  };
  for (let n = 0; n < repeats; n++) {
    workers.forEach((worker, index) => {
      const model = models[index];
      if (model === undefined) return;
      const text = JSON.stringify(model.report(n));
      const startedMs = performance.now();
      const ops = [...workerOps(ledger, worker, JSON.parse(text), noIntent)];
      const order: WorkerCommand = { bootId: "b1", validUntilMs: 1e9, ops };
      const sent = JSON.stringify(order);
      elapsedMs += performance.now() - startedMs;
      if (n > 0) bytes += text.length + sent.length;
      model.apply(order, n);
    });
  }
  const exchanges = workers.length * repeats;
  const [worker] = workers;
  const [model] = models;
  if (worker === undefined || model === undefined) throw new Error("no worker");
  const { digest } = model.report(repeats);
  const order = {
    bootId: "b1",
    validUntilMs: 1e9,
    ops: [],
    renewDigest: digest,
    knownDigest: digest,
  };
  const answer = model.apply(order, repeats);
  const shortBytes = JSON.stringify([order, answer]).length;
  return {
    shortBytes,
    us: elapsedMs * microsPerMs / exchanges,
    bytes: bytes / (exchanges - workers.length),
  };
}

/** A ledger whose workers run about `runningPerWorker` tasks each. */
function createLedger(size: number): CellLedger {
  const ledger = new CellLedger();
  apply(ledger, {
    atMs: head.atMs,
    by,
    kind: "epoch",
    number: 1,
    incarnation: "i",
    candidates: [by],
  });
  for (let n = 0; n < size; n++) {
    const worker = `worker-${n}` as WorkerId;
    const labels = {
      rack: `rack-${n % 20}`,
      worker,
      dataCentre: "lagos-1",
      trade: "catering",
    };
    apply(ledger, {
      ...head,
      kind: "worker",
      worker,
      bootId: "b1",
      capacity,
      labels,
    });
  }
  const tasks = size * runningPerWorker;
  for (let n = 0; n < tasks; n += tasksPerJob) {
    const id = `job${n}`;
    apply(ledger, submittedRecord(id, tasksPerJob));
    for (let index = 0; index < tasksPerJob; index++) {
      const worker = `worker-${(n + index) % size}` as WorkerId;
      const task = `${id}/${index}` as never;
      const reserved = {
        cpuMilli: 4_000,
        memoryBytes: 8 * bytesPerGb,
        accelerators: 0,
      };
      apply(ledger, {
        ...head,
        kind: "claimed",
        task,
        attempt: 1,
        worker,
        reserved,
      });
    }
  }
  return ledger;
}

function submittedRecord(id: string, tasks: number): CellRecord {
  const job: Job = {
    id: id as JobId,
    member: `member-${id.length % 5}` as MemberId,
    template: "weekly-menu",
    pool: "clubs",
    term: "2026-autumn",
    urgent: false,
    tasks,
    needs: { cpuMilli: 4_000, memoryBytes: 8 * bytesPerGb, accelerators: 0 },
    workers: [{ label: "trade", in: ["catering"] }],
    runMs: 60_000,
    maxAttempts: 5,
    maxEvictions: 3,
    endsAtMs: 1e15,
    input: { week: 40 },
  };
  return { atMs: head.atMs, by, kind: "submitted", job };
}

function finishedRecord(claim: CellRecord): CellRecord {
  if (claim.kind !== "claimed") throw new Error(`unexpected ${claim.kind}`);
  const { task, attempt } = claim;
  return { ...head, kind: "finished", task, attempt, result: `done ${task}` };
}

function apply(ledger: CellLedger, record: CellRecord): void {
  const verdict = applyRecord(ledger, record);
  if (!verdict.accepted) throw new Error(`${record.kind}: ${verdict.reason}`);
}

/** Needs `node --expose-gc` to leave out garbage. */
function usedHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

main();
