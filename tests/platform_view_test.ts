import { expect } from "chai";
import { Logger } from "../src/adapters/logger.ts";
import { JobDirectory } from "../src/cellhost/job_directory.ts";
import { encodeJob } from "../src/core/cell/encode_job.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import { parseTaskName } from "../src/core/jobs/parse_task_name.ts";
import { PlatformView } from "../src/ops/platform_view.ts";
import { readNewestRows } from "../src/ops/read_newest_rows.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";
import { CellFixture } from "./cell_fixture.ts";

const guard = { kind: "none" } as const;

/** A deployment with a running, a waiting and a cancelled job. */
async function createView(endedLife = "w@0"): Promise<PlatformView> {
  const fixture = new CellFixture();
  fixture.reportWorker("w");
  fixture.submit("j", [
    CellFixture.step({ count: 2 }),
    CellFixture.step({ after: [0] }),
  ]);
  fixture.advance();
  fixture.endRun("w", "j.0.0.0", 1, "done");
  const store = new StoreModel();
  const put = (stream: string, key: string, value: unknown) =>
    store.append(stream, [{ key, value: JSON.stringify(value) }], guard);
  const job = fixture.cell.jobs.get("j" as JobId)!;
  for (const id of ["j", "late", "gone"]) {
    await put("jobs", id, { ...job.definition, id, receivedMs: id.length });
  }
  await put("jobs", "gone!", 1);
  await put("cell", "job j", encodeJob(job));
  await put("epochs", "cell", { node: "front-1", incarnation: "1" });
  const address = { host: "10.0.0.1", port: 7, incarnation: "1", strength: 1 };
  await put("members", "front-1", { role: "entry", ...address });
  await put("members", "w", { role: "sidecar", ...address });
  await put("members", "w!", { life: endedLife });
  const streams = ["jobs", "cell", "epochs", "members"];
  const rows = await Promise.all(
    streams.map((stream) => readNewestRows(store, stream)),
  );
  const [jobs, cell, epochs, peers] = rows.map((read) =>
    read.unwrapOr(new Map())
  );
  const directory = new JobDirectory(new Logger("silent", {}));
  directory.applyJobRows([...jobs!.values()]);
  directory.applyProgressRows([...cell!.values()]);
  return new PlatformView(directory, epochs!, peers!);
}

describe("an operator's view of the store", () => {
  it("describes a job by its steps and tasks", async () => {
    const job = (await createView()).job("j" as JobId);
    expect(job?.state).to.equal("running");
    expect(job?.steps.map(({ count, done, claimed }) => [count, done, claimed]))
      .to.eql([[2, 1, 1], [1, 0, 0]]);
    expect(job?.tasks.map(({ task, runs, worker }) => [task, runs, worker]))
      .to.eql([["j.0.0.1", 1, "w"]]);
  });

  const tasks = [
    { name: "j.0.0.0", state: "done" },
    { name: "j.0.0.1", state: "claimed" },
    { name: "j.0.1.0", state: "waits_for_steps" },
    { name: "late.0.0.0", state: "not_open" },
    { name: "j.0.0.2", state: undefined },
    { name: "j.0.2.0", state: undefined },
    { name: "j.1.0.0", state: undefined },
    { name: "none.0.0.0", state: undefined },
  ];
  for (const { name, state } of tasks) {
    it(`describes the task ${name} as ${state ?? "unknown"}`, async () => {
      const view = await createView();
      const task = view.task(parseTaskName(name)!);
      expect(task?.state).to.equal(state);
      if (task !== undefined) expect(task.grep).to.include(`task=${name}`);
    });
  }

  for (
    const [endedLife, hasEnded] of [["w@1", true], ["w@0", false]] as const
  ) {
    it(`tells of a claim whether its life has ended: ${hasEnded}`, async () => {
      const view = await createView(endedLife);
      const { claim } = view.task(parseTaskName("j.0.0.1")!)!;
      expect(claim).to.eql({
        worker: "w",
        life: "w@1",
        isMember: true,
        hasLifeEnded: hasEnded,
        endedLife,
        address: "10.0.0.1:7",
      });
    });
  }

  it("returns no job that was not submitted", async () => {
    expect((await createView()).job("none" as JobId)).to.equal(undefined);
  });

  it("counts jobs and names the keeper and its peers", async () => {
    const { keeper, epoch, jobs, members } = (await createView()).status();
    expect([keeper, epoch]).to.eql(["front-1", 1]);
    expect(jobs).to.eql({ running: 1, queued: 1, cancelled: 1 });
    expect(members.map(({ node, role }) => [node, role])).to.eql([
      ["front-1", "entry"],
      ["w", "sidecar"],
    ]);
  });

  it("fails if the store is down", async () => {
    const store = new StoreModel();
    store.isDown = true;
    const read = await readNewestRows(store, "jobs");
    expect(read.isErr && read.error.kind).to.equal("refused");
  });
});
