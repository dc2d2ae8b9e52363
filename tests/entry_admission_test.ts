import { expect } from "chai";
import { defaultStoreLimits } from "../src/core/store/default_store_limits.ts";
import { Logger } from "../src/adapters/logger.ts";
import { PrometheusMetrics } from "../src/adapters/prometheus_metrics.ts";
import { systemClock } from "../src/adapters/system_clock.ts";
import { streams } from "../src/cellhost/streams.ts";
import type { JobDefinition } from "../src/core/jobs/job_definition.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { ContentionOptions } from "../src/core/queueing/contention_options.ts";
import { EntryNode } from "../src/nodes/entry_node.ts";
import { JobService } from "../src/nodes/job_service.ts";
import { parseHardLoad } from "../src/nodes/parse_hard_load.ts";
import { RetryingStorer } from "../src/nodes/retrying_storer.ts";
import { StoreHealth } from "../src/nodes/store_health.ts";
import { SubmissionWriter } from "../src/nodes/submission_writer.ts";
import { plainQueue } from "../stand_ins/plain_queue.ts";
import { plainStep } from "../stand_ins/plain_step.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";

const log = new Logger("silent", {});
const time = {
  arrivedAtMs: performance.now(),
  deadlineMs: 3_000,
  withinMs: 1_000,
  signal: new AbortController().signal,
};
const noHardLoad = parseHardLoad(new Map());
const load = {
  capacityMilli: 4_000,
  freeMilli: 0,
  runningMilliMs: 1e12,
  places: [],
};
const overloaded = {
  atMs: 0,
  pools: [{
    pool: "pool",
    capacityMilli: 4_000,
    freeMilli: 0,
    classes: { reserved: load, filler: load },
  }],
};
const job: JobDefinition = {
  id: "0123456789abcdef" as JobId,
  queue: "q",
  payload: "",
  steps: [plainStep()],
  schedule: undefined,
  receivedMs: 1,
};

function newService(
  hardLoad: ContentionOptions | undefined,
  store = new StoreModel(),
) {
  const options = {
    node: "entry" as NodeId,
    incarnation: "1",
    host: "127.0.0.1",
    zone: "z1",
    peerPort: 0,
    bounds: { maxHoldMs: 6_000 },
    strength: 1,
    hardLoad: { ...noHardLoad, ...hardLoad },
    submissionStreams: 1,
    storeLimits: defaultStoreLimits,
  };
  const advisor = { requestTickets: () => Promise.reject(new Error("none")) };
  const metrics = new PrometheusMetrics();
  const entry = new EntryNode(options, store, advisor, metrics, log);
  entry.setQueues([plainQueue({ maxAttempts: 1 })]);
  entry.load.receive(overloaded);
  const writer = new SubmissionWriter(store, streams.jobs, systemClock);
  const storer = new RetryingStorer(writer, new StoreHealth(), systemClock);
  const service = new JobService(entry, storer, metrics, log);
  return { service, store, writer };
}

const admits = { admits: true, sharesFairly: false };
const shares = { admits: false, sharesFairly: true };

describe("an entry whose pool is overloaded", () => {
  it("stores no job that it refuses", async () => {
    const { service, store } = newService(admits);
    const refusal = await service.submit(job, time);
    expect(refusal).to.include({ kind: "refused", reason: "overload" });
    expect(store.appendCount).to.equal(0);
  });

  it("confirms a job that another entry has stored", async () => {
    const { service, store } = newService(undefined);
    await service.submit(job, time);
    const other = newService(admits, store);
    expect(await other.service.submit(job, time)).to.eql({ kind: "stored" });
    expect(store.appendCount).to.equal(1);
  });

  it("refuses no job that an append without answer may have stored", async () => {
    const { service, store, writer } = newService(admits);
    store.faults.push("lost", "refused", "refused");
    await writer.append({ key: job.id, value: JSON.stringify(job) });
    expect((await service.submit(job, time)).kind).not.to.equal("refused");
  });

  for (const hardLoad of [undefined, shares]) {
    it(`stores all jobs ${hardLoad ? "with shares alone" : "without a flag"}`, async () => {
      const { service, store } = newService(hardLoad);
      expect(await service.submit(job, time)).to.eql({ kind: "stored" });
      const page = await store.readNewest(streams.jobs);
      const value = page.unwrapOr(undefined)?.rows[0]?.value ?? "{}";
      const { origin } = JSON.parse(value) as JobDefinition;
      expect(origin).to.equal(hardLoad ? "z1" : undefined);
    });
  }
});
