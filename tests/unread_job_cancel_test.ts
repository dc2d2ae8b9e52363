import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { Logger } from "../src/adapters/logger.ts";
import { cancellationKey } from "../src/cellhost/cancellation_key.ts";
import { JobDirectory } from "../src/cellhost/job_directory.ts";
import type { JobDefinition } from "../src/core/jobs/job_definition.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import { UncertainKeys } from "../src/nodes/uncertain_keys.ts";
import { plainStep } from "../stand_ins/plain_step.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";
import { CellFixture } from "./cell_fixture.ts";
import { newJobService } from "./new_job_service.ts";

const log = new Logger("silent", {});
/** For so long after a failed append the next ones are refused. */
const probeIntervalMs = 300;
const id = "00000000000000a1" as JobId;
const job: JobDefinition = {
  id,
  queue: "q",
  payload: "",
  steps: [plainStep()],
  schedule: undefined,
  receivedMs: 1,
};
const time = {
  arrivedAtMs: 0,
  deadlineMs: 3_000,
  withinMs: 2_000,
  signal: new AbortController().signal,
};

/** The state of the job at an entry that reads all rows now. */
async function stateElsewhere(store: StoreModel): Promise<unknown> {
  return await newJobService(store).state(id, time);
}

// Guards against a job that runs for good after its cancellation was answered
// with "no such job": it was stored then, or was stored later.
describe("a job that an entry has not read is cancelled", () => {
  const submitters = [
    { name: "the entry itself", isOwn: true },
    { name: "another entry", isOwn: false },
    { name: "a process of the entry that was replaced since", isOwn: false },
  ];
  for (const { name, isOwn } of submitters) {
    it(`though an append of ${name} stores it later`, async () => {
      const store = new StoreModel();
      const service = newJobService(store);
      await service.entry.jobTails.refresh();
      store.faults.push("late");
      const submitter = isOwn ? service : newJobService(store);
      const brief = { ...time, withinMs: 20 };
      const submitted = await submitter.submit(job, brief);
      expect(submitted.kind).to.equal("unknown");
      await sleep(probeIntervalMs);
      const outcome = await service.cancel(id, time);
      expect(outcome.kind).to.equal(isOwn ? "stored" : "gone");
      store.applyDelayed();
      expect(await stateElsewhere(store)).to.equal("cancelled");
      await service.entry.jobTails.refresh();
      expect(await service.state(id, time)).to.equal("cancelled");
    });
  }

  it("though another entry stored it after the last read", async () => {
    const store = new StoreModel();
    const service = newJobService(store);
    await service.entry.jobTails.refresh();
    await newJobService(store).submit(job, time);
    expect((await service.cancel(id, time)).kind).to.equal("stored");
    expect(await stateElsewhere(store)).to.equal("cancelled");
  });

  it("if it is handed in later", async () => {
    const store = new StoreModel();
    const service = newJobService(store);
    expect((await service.cancel(id, time)).kind).to.equal("gone");
    expect((await newJobService(store).submit(job, time)).kind)
      .to.equal("stored");
    expect(await stateElsewhere(store)).to.equal("cancelled");
  });
});

describe("an entry that the store turns away", () => {
  // Guards against "no such job" for one that another entry has just accepted.
  it("does not answer the cancellation of a job that it has not read", async () => {
    const store = new StoreModel();
    const service = newJobService(store);
    await service.entry.jobTails.refresh();
    await newJobService(store).submit(job, time);
    store.isDown = true;
    expect((await service.cancel(id, time)).kind).to.equal("refused");
  });
});

describe("the state of a job", () => {
  // Guards against "no such job" for one that is accepted seconds later.
  it("is unsure while an append of the entry may store it yet", async () => {
    const store = new StoreModel();
    const service = newJobService(store);
    await service.entry.jobTails.refresh();
    store.faults.push("late");
    await service.submit(job, { ...time, withinMs: 20 });
    expect(await service.state(id, time)).to.equal("unsure");
    expect(await stateElsewhere(store)).to.equal("unknown");
  });

  const moments = [
    { nowMs: 10_000, mayStillStore: true },
    { nowMs: 16_000, mayStillStore: true },
    { nowMs: 16_001, mayStillStore: false },
  ];
  for (const { nowMs, mayStillStore } of moments) {
    it(`may ${mayStillStore ? "" : "not "}come ${nowMs - 1_000} ms after an append`, () => {
      const keys = new UncertainKeys();
      keys.beginAppend("a");
      expect(keys.mayStillStore("a", 90_000)).to.equal(true);
      keys.endAppend("a", "unknown", 1_000);
      expect(keys.mayStillStore("a", nowMs)).to.equal(mayStillStore);
      expect(keys.has("a")).to.equal(true);
    });
  }
});

describe("a cancellation that is read before its job", () => {
  it("lets no task of it begin", () => {
    const fixture = new CellFixture();
    const { cell } = fixture;
    const directory = new JobDirectory(log);
    directory.onSubmitted = (each) =>
      fixture.collect(cell.submit(each, fixture.wallMs));
    directory.onCancelled = (each) =>
      fixture.collect(cell.cancel(each, fixture.nowMs));
    fixture.reportWorker("w");
    const row = (key: string, value: unknown, offset: number) => ({
      key,
      value: JSON.stringify(value),
      offset,
    });
    directory.applyJobRows([row(cancellationKey(id), 1, 0)]);
    directory.applyJobRows([row(id, job, 1)]);
    fixture.advance();
    expect(directory.state(id)).to.equal("cancelled");
    expect(fixture.runsOn("w")).to.eql([]);
  });
});
