import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { Logger } from "../src/adapters/logger.ts";
import { StreamTail } from "../src/cellhost/stream_tail.ts";
import { submissionStreams } from "../src/cellhost/submission_streams.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import { plainStep } from "../stand_ins/plain_step.ts";
import { PagedStoreModel } from "../stand_ins/store/paged_store_model.ts";
import { newJobService } from "./new_job_service.ts";

const log = new Logger("silent", {});
const streams = submissionStreams(3);
const id = "00000000000000a1" as JobId;
const value = JSON.stringify({
  id,
  queue: "q",
  payload: "",
  steps: [plainStep()],
  receivedMs: 1,
});
const time = {
  arrivedAtMs: 0,
  deadlineMs: 3_000,
  withinMs: 20,
  signal: new AbortController().signal,
};

async function newStore(...keys: string[]): Promise<PagedStoreModel> {
  const store = new PagedStoreModel();
  const rows = keys.map((key) => ({ key, value }));
  await store.append("jobs", rows, { kind: "none" });
  return store;
}

function newService(store: PagedStoreModel) {
  return newJobService(store, { submissionStreams: streams.length });
}

function newTail(store: PagedStoreModel): StreamTail {
  const options = { waitMs: 0, pauseMs: 1 };
  return new StreamTail(store, "jobs", options, () => {}, log);
}

describe("the first read of a stream", () => {
  // Reads of their own for each question filled the link for 13 s.
  it("is shared by all questions that wait for it", async () => {
    const store = await newStore("a", "b", "c");
    const tail = newTail(store);
    await Promise.all(Array.from({ length: 10 }, () => tail.refresh()));
    expect(store.requests).to.eql(["jobs first", "jobs a", "jobs b"]);
  });

  it("goes on after a page that timed out", async () => {
    const store = await newStore("a", "b", "c");
    const tail = newTail(store);
    store.timeouts = 1;
    expect(await tail.refresh()).to.equal(false);
    expect([tail.isCaughtUp, tail.isUnreachable]).to.eql([false, true]);
    expect(await tail.refresh()).to.equal(true);
    expect(store.requests).to.eql([
      "jobs first",
      "jobs a",
      "jobs a",
      "jobs b",
    ]);
  });

  it("returns what was stored while it went on", async () => {
    const store = await newStore("a", "b");
    const keys: string[] = [];
    const options = { waitMs: 0, pauseMs: 1 };
    const tail = new StreamTail(
      store,
      "jobs",
      options,
      (rows) => keys.push(...rows.map(({ key }) => key)),
      log,
    );
    store.timeouts = 1;
    await tail.refresh();
    await store.append("jobs", [{ key: "0", value }], { kind: "none" });
    await tail.refresh();
    expect(keys).to.include.members(["a", "b", "0"]);
  });
});

describe("an entry that can read no stream any more", () => {
  // A read that had not been answered for 2 s counted as recent.
  it("does not deny a job that was stored elsewhere meanwhile", async () => {
    const store = await newStore();
    const service = newService(store);
    await service.entry.jobTails.refresh();
    await store.append("jobs", [{ key: id, value }], { kind: "none" });
    for (const stream of streams) store.lostStreams.set(stream, "refused");
    await service.entry.jobTails.refresh();
    await sleep(1_600);
    expect(await service.state(id, time)).to.equal("unsure");
  });
});

describe("a restarted entry", () => {
  const [first, second, third] = streams as [string, string, string];
  const cases = [
    { silent: [], refused: [], isReady: true, answer: "queued" },
    { silent: [first], refused: [], isReady: false, answer: "unsure" },
    { silent: [second], refused: [], isReady: false, answer: "queued" },
    { silent: [], refused: [first], isReady: true, answer: "unsure" },
    { silent: [], refused: [third], isReady: true, answer: "queued" },
    { silent: [], refused: streams, isReady: false, answer: "unsure" },
  ];
  for (const { silent, refused, isReady, answer } of cases) {
    const lost = `${silent.length} streams silent, ${refused.length} refused`;
    const name = `${lost} (${[...silent, ...refused].join(" ")})`;
    it(`holds no question about a stored job: ${name}`, async () => {
      const store = await newStore(id);
      const service = newService(store);
      const { jobTails } = service.entry;
      for (const stream of silent) store.silentStreams.add(stream);
      for (const stream of refused) store.lostStreams.set(stream, "refused");
      void jobTails.refresh();
      expect(await service.state(id, time)).to.equal(answer);
      expect(jobTails.hasReadReachable).to.equal(isReady);
    });
  }

  it("answers at once while a stream cannot be read", async () => {
    const store = await newStore(id);
    store.lostStreams.set("jobs", "refused");
    const service = newService(store);
    await service.entry.jobTails.refresh();
    const requested = store.requests.length;
    expect(await service.state(id, time)).to.equal("unsure");
    expect(store.requests.length).to.equal(requested);
  });

  it("counts no waiting jobs before it has read all", async () => {
    const store = await newStore(id);
    store.lostStreams.set("jobs-2", "refused");
    const service = newService(store);
    await service.entry.jobTails.refresh();
    expect(service.waiting("q")).to.equal(undefined);
    store.lostStreams.clear();
    await service.entry.jobTails.refresh();
    expect(service.waiting("q")).to.equal(1);
  });

  // All entries had been killed; the streams came back one after the other.
  it("is ready once it has read what came back", async () => {
    const store = await newStore(id);
    for (const stream of streams) store.lostStreams.set(stream, "refused");
    const service = newService(store);
    const { jobTails } = service.entry;
    await jobTails.refresh();
    const seen: unknown[] = [];
    for (const stream of [second, first, third]) {
      store.lostStreams.delete(stream);
      await jobTails.refresh();
      const state = await service.state(id, time);
      seen.push([jobTails.hasReadReachable, jobTails.isCaughtUp, state]);
    }
    expect(seen).to.eql([
      [true, false, "unsure"],
      [true, false, "queued"],
      [true, true, "queued"],
    ]);
  });
});
