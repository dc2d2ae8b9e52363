import { type AddressInfo, createServer } from "node:net";
import { expect } from "chai";
import { Logger } from "../src/adapters/logger.ts";
import { ProcessMetrics } from "../src/adapters/process_metrics.ts";
import { JobDirectory } from "../src/cellhost/job_directory.ts";
import { MemberLinks } from "../src/cellhost/member_links.ts";
import type { MemberRow } from "../src/cellhost/member_row.ts";
import { Channel } from "../src/link/channel.ts";
import type { KeeperMessage } from "../src/link/keeper_message.ts";
import type { MemberMessage } from "../src/link/member_message.ts";
import { KeeperSession } from "../src/cellhost/keeper_session.ts";
import { RowWriter } from "../src/cellhost/row_writer.ts";
import { StreamTail } from "../src/cellhost/stream_tail.ts";
import { encodeJob } from "../src/core/cell/encode_job.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { StoredRow } from "../src/core/store/stored_row.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";
import { CellBuilder } from "./cell_builder.ts";

const log = new Logger("silent", {});
const bounds = { maxHoldMs: 6_000 };

function rowsOf(values: Readonly<Record<string, unknown>>): StoredRow[] {
  return Object.entries(values).map(([key, value], offset) => ({
    key,
    value: JSON.stringify(value),
    offset,
  }));
}

function sessionOf(epoch: number) {
  const directory = new JobDirectory(log);
  const writer = new RowWriter(
    new StoreModel(),
    "cell",
    epoch,
    () => ({ key: "keeper", value: "" }),
    () => {},
    new VirtualClock(),
    log,
  );
  const session = new KeeperSession(
    epoch,
    writer,
    directory,
    bounds,
    log,
    "k" as NodeId,
    { ask: () => Promise.reject(new Error("not asked")) },
    new ProcessMetrics(),
  );
  return { session, directory };
}

/** A member that tells what its keeper says. */
async function listeningMember() {
  const heard: string[] = [];
  let told = () => {};
  const server = createServer((socket) => {
    const channel = new Channel<MemberMessage, KeeperMessage>(socket);
    channel.onMessage = ({ kind }) => {
      heard.push(kind);
      told();
    };
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const hears = async (kind: string) => {
    while (!heard.includes(kind)) {
      await new Promise<void>((resolve) => told = resolve);
    }
  };
  const row = (role: MemberRow["role"]): MemberRow => ({
    role,
    host: "127.0.0.1",
    port,
    incarnation: "1",
    strength: 1,
  });
  return { heard, hears, row, close: () => server.close() };
}

describe("a keeper that leaves", () => {
  it("asks each entry to take over, also one that comes later, and keeps on", async () => {
    const { session } = sessionOf(1);
    const early = await listeningMember();
    const late = await listeningMember();
    session.setMember("early" as NodeId, early.row("entry"));
    await early.hears("states");
    expect(early.heard).not.to.include("resigned");
    session.leave();
    await early.hears("resigned");
    session.setMember("late" as NodeId, late.row("entry"));
    await late.hears("resigned");
    expect(session.isOpen).to.equal(true);
    session.close();
    early.close();
    late.close();
  });
});

describe("a keeper's connections", () => {
  const hello = { kind: "hello", epoch: 1, keeper: "k" } as const;

  it("stay where a new process has the old address", async () => {
    const links = new MemberLinks(hello, log);
    const member = await listeningMember();
    links.set("s" as NodeId, member.row("sidecar"));
    await member.hears("hello");
    links.set("s" as NodeId, { ...member.row("sidecar"), incarnation: "2" });
    links.send("s" as NodeId, { kind: "resigned" });
    await member.hears("resigned");
    expect(member.heard).to.eql(["hello", "resigned"]);
    links.close();
    member.close();
  });

  it("tell of a sidecar that has moved, so that orders are told again", async () => {
    const links = new MemberLinks(hello, log);
    const [old, now] = [await listeningMember(), await listeningMember()];
    const lost: string[] = [];
    links.onSidecarLost = (node) => lost.push(node);
    links.set("s" as NodeId, old.row("sidecar"));
    await old.hears("hello");
    links.set("s" as NodeId, { ...now.row("sidecar"), incarnation: "2" });
    await now.hears("hello");
    expect(lost).to.eql(["s"]);
    links.close();
    old.close();
    now.close();
  });
});

describe("a keeper that takes over", () => {
  const orders = [
    { name: "the job before its row", isJobLate: false },
    { name: "the job's row before the job", isJobLate: true },
  ];
  for (const { name, isJobLate } of orders) {
    it(`goes on with a run that it reads of, ${name}`, () => {
      const earlier = new CellBuilder();
      earlier.report("w");
      earlier.submit("j", [CellBuilder.step()]);
      earlier.tick();
      const job = earlier.cell.jobs.get("j" as JobId)!;

      const { session, directory } = sessionOf(2);
      directory.onSubmitted = (definition) => session.submit(definition);
      directory.takeProgress(rowsOf({ "job j": encodeJob(job) }));
      const takeJob = () => directory.takeJobs(rowsOf({ j: job.definition }));
      if (!isJobLate) takeJob();
      session.load(earlier.cell.queues.values());
      if (isJobLate) takeJob();
      const taken = session.cell.jobs.get("j" as JobId)!;
      session.close();
      expect(encodeJob(taken)).to.eql(encodeJob(job));
    });
  }
});

describe("a tail that refreshes", () => {
  it("hands each row on once, and none older than its newest", async () => {
    const store = new StoreModel();
    const write = (key: string, value: string) =>
      store.append("jobs", [{ key, value }], { kind: "none" });
    await write("a", "1");
    await write("a", "2");
    const seen: string[] = [];
    const options = { waitMs: 0, pauseMs: 1 };
    const take = (rows: readonly StoredRow[]) =>
      seen.push(...rows.map(({ key, value }) => `${key}=${value}`));
    const tail = new StreamTail(store, "jobs", options, take, log);
    await tail.refresh();
    await tail.refresh();
    await write("a", "3");
    await write("b", "1");
    await tail.refresh();
    await write("a", "4");
    await tail.refresh();
    expect(seen).to.eql(["a=2", "a=3", "b=1", "a=4"]);
  });

  it("has read all that was stored before, whatever reads beside it", async () => {
    const store = new StoreModel();
    const seen: string[] = [];
    const options = { waitMs: 0, pauseMs: 1 };
    const take = (rows: readonly StoredRow[]) =>
      seen.push(...rows.map(({ key }) => key));
    const tail = new StreamTail(store, "jobs", options, take, log);
    await tail.refresh();
    await store.append("jobs", [{ key: "a", value: "1" }], { kind: "none" });
    const slow = tail.refresh();
    await store.append("jobs", [{ key: "b", value: "1" }], { kind: "none" });
    await Promise.all([slow, tail.refresh()]);
    expect(seen).to.eql(["a", "b"]);
  });
});
