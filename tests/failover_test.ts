import { expect } from "chai";
import { PrometheusMetrics } from "../src/adapters/prometheus_metrics.ts";
import { Logger } from "../src/adapters/logger.ts";
import { cancellationKey } from "../src/cellhost/cancellation_key.ts";
import { JobDirectory } from "../src/cellhost/job_directory.ts";
import { progressKey } from "../src/cellhost/progress_key.ts";
import { submissionStreams } from "../src/cellhost/submission_streams.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import { FailoverStore } from "../src/nodes/failover_store.ts";
import { SubmissionTails } from "../src/nodes/submission_tails.ts";
import { SubmissionWriter } from "../src/nodes/submission_writer.ts";
import { plainStep } from "../stand_ins/plain_step.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";

const log = new Logger("silent", {});
const streams = submissionStreams(3);
const id = "00000000000000a1" as JobId;
const job = JSON.stringify({
  id,
  queue: "q",
  payload: "",
  steps: [plainStep()],
  receivedMs: 1,
});

function createFixture() {
  const clock = new VirtualClock();
  const store = new StoreModel();
  const readAtMs = new Map<string, number>();
  const failoverStore = new FailoverStore({
    store,
    streams,
    readAtMs: (stream) => readAtMs.get(stream) ?? 0,
    clock,
    metrics: new PrometheusMetrics(),
    log,
  });
  const writer = new SubmissionWriter(failoverStore, "jobs", clock);
  const append = async () => {
    const result = await writer.append({ key: id, value: job });
    return result.isOk ? "stored" : result.error.kind;
  };
  return { clock, store, readAtMs, append };
}

describe("submissions while the store serves only some streams", () => {
  const cases = [
    { lost: [], outcome: "stored", stream: "jobs" },
    { lost: ["jobs"], outcome: "stored", stream: "jobs-2" },
    { lost: ["jobs", "jobs-2"], outcome: "stored", stream: "jobs-3" },
    { lost: streams, outcome: "refused", stream: undefined },
  ] as const;
  for (const { lost, outcome, stream } of cases) {
    for (const fault of ["refused", "hung"] as const) {
      // Without failover a submission is lost though the store would take it.
      const expected = fault === "hung" && outcome === "refused"
        ? "unknown"
        : outcome;
      it(`are ${expected} with ${lost.length} streams ${fault}`, async () => {
        const { store, append } = createFixture();
        for (const each of lost) store.lostStreams.set(each, fault);
        expect(await append()).to.equal(expected);
        const holders = streams.filter((each) =>
          store.newestValue(each, id) !== undefined
        );
        expect(holders).to.eql(stream === undefined ? [] : [stream]);
      });
    }
  }

  it("are not refused if a stream may have stored them earlier", async () => {
    const { clock, store, append } = createFixture();
    store.faults.push("hung", "refused", "refused");
    expect(await append()).to.equal("unknown");
    await clock.advance(1_000);
    for (const each of streams) store.lostStreams.set(each, "refused");
    expect(await append()).to.equal("unknown");
  });

  it("avoid a stream that failed until it was read again", async () => {
    const { clock, store, readAtMs, append } = createFixture();
    await clock.advance(10);
    store.lostStreams.set("jobs", "hung");
    await append();
    store.lostStreams.clear();
    const appendsBefore = store.appendCount;
    await append();
    expect(store.appendCount).to.equal(appendsBefore + 1);
    expect(store.newestValue("jobs", id)).to.equal(undefined);
    readAtMs.set("jobs", clock.nowMs() + 1);
    await append();
    expect(store.newestValue("jobs", id)).to.equal(job);
  });

  // Each call to a silent store takes until its time-out.
  it("try one stream at a time while all of them fail", async () => {
    const { clock, store, append } = createFixture();
    await clock.advance(10);
    for (const each of streams) store.lostStreams.set(each, "hung");
    await append();
    await clock.advance(1_000);
    const appendsBefore = store.appendCount;
    await append();
    expect(store.appendCount).to.equal(appendsBefore + 1);
  });
});

describe("the jobs that are read from several streams", () => {
  it("come from the streams that can be read", async () => {
    const { store, append } = createFixture();
    store.lostStreams.set("jobs", "refused");
    await append();
    const directory = new JobDirectory(log);
    const tails = new SubmissionTails(
      store,
      streams,
      (rows) => directory.applyJobRows(rows),
      log,
    );
    expect(await tails.refresh()).to.equal(false);
    expect([tails.isCaughtUp, tails.hasReadReachable]).to.eql([false, true]);
    expect(directory.state(id)).to.equal("queued");
    store.lostStreams.clear();
    expect(await tails.refresh()).to.equal(true);
    expect(tails.isCaughtUp).to.equal(true);
  });

  it("are cancelled if the cancellation is read first", () => {
    const directory = new JobDirectory(log);
    const events: string[] = [];
    directory.onSubmitted = () => events.push("submitted");
    directory.onCancelled = () => events.push("cancelled");
    const row = (key: string, value: string) => ({ key, value, offset: 0 });
    directory.applyJobRows([row(cancellationKey(id), "1")]);
    directory.applyJobRows([row(id, job)]);
    expect(events).to.eql(["cancelled", "submitted", "cancelled"]);
    expect(directory.state(id)).to.equal("cancelled");
  });

  // A new keeper that did not know a job would stop its runs as unknown ones.
  it("are complete only if the job of each progress row is known", () => {
    const directory = new JobDirectory(log);
    const progress = {
      key: progressKey(id),
      value: '{"s":"r","n":1,"w":[],"o":[]}',
      offset: 0,
    };
    directory.applyProgressRows([progress]);
    expect(directory.isComplete).to.equal(false);
    directory.applyJobRows([{ key: id, value: job, offset: 0 }]);
    expect(directory.isComplete).to.equal(true);
  });
});
