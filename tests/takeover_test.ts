import { type AddressInfo, createServer } from "node:net";
import { expect } from "chai";
import { systemClock } from "../src/adapters/system_clock.ts";
import { Logger } from "../src/adapters/logger.ts";
import { PrometheusMetrics } from "../src/adapters/prometheus_metrics.ts";
import { JobDirectory } from "../src/cellhost/job_directory.ts";
import { PeerLinks } from "../src/cellhost/peer_links.ts";
import type { PeerAddressRow } from "../src/cellhost/peer_address_row.ts";
import { Channel } from "../src/link/channel.ts";
import { isKeeperMessage } from "../src/link/is_keeper_message.ts";
import type { KeeperMessage } from "../src/link/keeper_message.ts";
import type { PeerMessage } from "../src/link/peer_message.ts";
import { KeeperSession } from "../src/cellhost/keeper_session.ts";
import { RowWriter } from "../src/cellhost/row_writer.ts";
import { StreamTail } from "../src/cellhost/stream_tail.ts";
import { encodeJob } from "../src/core/cell/encode_job.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { StoredRow } from "../src/core/store/stored_row.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";
import { CellFixture } from "./cell_fixture.ts";

const log = new Logger("silent", {});
const bounds = { maxHoldMs: 6_000 };

function toStoredRows(values: Readonly<Record<string, unknown>>): StoredRow[] {
  return Object.entries(values).map(([key, value], offset) => ({
    key,
    value: JSON.stringify(value),
    offset,
  }));
}

function createSession(epoch: number) {
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
  const hello = { kind: "hello", epoch, keeper: "k" } as const;
  const session = new KeeperSession({
    epoch,
    writer,
    directory,
    bounds,
    links: new PeerLinks(hello, log),
    advisor: {
      requestTickets: () => Promise.reject(new Error("no advisor")),
    },
    clock: systemClock,
    metrics: new PrometheusMetrics(),
    log,
  });
  return { session, directory };
}

/** A peer that records the kinds of the messages from its keeper. */
async function startPeer() {
  const received: string[] = [];
  let notify = () => {};
  const server = createServer((socket) => {
    const channel = new Channel<PeerMessage, KeeperMessage>(
      socket,
      isKeeperMessage,
    );
    channel.onMessage = ({ kind }) => {
      received.push(kind);
      notify();
    };
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const waitFor = async (kind: string) => {
    while (!received.includes(kind)) {
      await new Promise<void>((resolve) => notify = resolve);
    }
  };
  const row = (role: PeerAddressRow["role"]): PeerAddressRow => ({
    role,
    host: "127.0.0.1",
    port,
    incarnation: "1",
    strength: 1,
  });
  return { received, waitFor, row, close: () => server.close() };
}

describe("a keeper that resigns", () => {
  it("notifies every entry, also later ones, and stays active", async () => {
    const { session } = createSession(1);
    const earlyPeer = await startPeer();
    const latePeer = await startPeer();
    session.setPeer("early" as NodeId, earlyPeer.row("entry"));
    await earlyPeer.waitFor("states");
    expect(earlyPeer.received).not.to.include("resigned");
    session.resign();
    await earlyPeer.waitFor("resigned");
    session.setPeer("late" as NodeId, latePeer.row("entry"));
    await latePeer.waitFor("resigned");
    expect(session.isOpen).to.equal(true);
    session.close();
    earlyPeer.close();
    latePeer.close();
  });
});

describe("a keeper's connections to its peers", () => {
  const hello = { kind: "hello", epoch: 1, keeper: "k" } as const;

  it("stay open if a new process has the same address", async () => {
    const links = new PeerLinks(hello, log);
    const peer = await startPeer();
    links.set("s" as NodeId, peer.row("sidecar"));
    await peer.waitFor("hello");
    links.set("s" as NodeId, { ...peer.row("sidecar"), incarnation: "2" });
    links.send("s" as NodeId, { kind: "resigned" });
    await peer.waitFor("resigned");
    expect(peer.received).to.eql(["hello", "resigned"]);
    links.close();
    peer.close();
  });

  it("report a sidecar with a new address as lost", async () => {
    const links = new PeerLinks(hello, log);
    const [oldPeer, newPeer] = [await startPeer(), await startPeer()];
    const lost: string[] = [];
    links.onSidecarLost = (node) => lost.push(node);
    links.set("s" as NodeId, oldPeer.row("sidecar"));
    await oldPeer.waitFor("hello");
    links.set("s" as NodeId, { ...newPeer.row("sidecar"), incarnation: "2" });
    await newPeer.waitFor("hello");
    expect(lost).to.eql(["s"]);
    links.close();
    oldPeer.close();
    newPeer.close();
  });
});

describe("a new keeper", () => {
  const cases = [
    { name: "the job before its row", isJobLate: false },
    { name: "the job's row before the job", isJobLate: true },
  ];
  for (const { name, isJobLate } of cases) {
    it(`takes over a stored run, reading ${name}`, () => {
      const earlier = new CellFixture();
      earlier.reportWorker("w");
      earlier.submit("j", [CellFixture.step()]);
      earlier.advance();
      const job = earlier.cell.jobs.get("j" as JobId)!;

      const { session, directory } = createSession(2);
      directory.onSubmitted = (definition) => session.submit(definition);
      directory.applyProgressRows(toStoredRows({ "job j": encodeJob(job) }));
      const deliverJob = () =>
        directory.applyJobRows(toStoredRows({ j: job.definition }));
      if (!isJobLate) deliverJob();
      session.load(earlier.cell.queues.values());
      if (isJobLate) deliverJob();
      const restored = session.cell.jobs.get("j" as JobId)!;
      session.close();
      expect(encodeJob(restored)).to.eql(encodeJob(job));
    });
  }
});

describe("a new keeper", () => {
  it("begins with what its predecessor learned, for live jobs", () => {
    const service = CellFixture.step({ isService: true, image: "s" });
    const earlier = new CellFixture();
    earlier.submit("j", [service]);
    const use = new Map([["f", 0.2]]);
    for (let sample = 0; sample < 10; sample++) {
      earlier.cell.pressure.learn("s", "j", 3, use);
      earlier.cell.pressure.learn("s", "ended", 3, use);
    }
    earlier.advance();
    const rows = earlier.effects.flatMap((effect) =>
      effect.kind === "learned" ? [effect.row] : []
    );
    expect(rows).to.have.length(1);

    const { session, directory } = createSession(2);
    directory.applyProgressRows(toStoredRows({ learned: rows[0] }));
    const { definition } = earlier.cell.jobs.get("j" as JobId)!;
    directory.applyJobRows(toStoredRows({ j: definition }));
    session.load(earlier.cell.queues.values());
    const { pressure } = session.cell;
    session.close();
    expect(pressure.pressureOf("s", "f")).to.be.closeTo(
      earlier.cell.pressure.pressureOf("s", "f"),
      0.001,
    );
    expect(pressure.encode().loads.map(([job]) => job)).to.eql(["j"]);
  });
});

describe("a new keeper begins without what was learned", () => {
  const cases: readonly (readonly [name: string, row: unknown])[] = [
    ["if it is null", null],
    ["if it is empty", {}],
    ["if a list is missing", { fillers: ["f"], services: [] }],
    ["if a number is null", {
      fillers: ["f"],
      services: [["s", 0.25, [null], [1]]],
      loads: [],
    }],
    ["if a load is text", {
      fillers: [],
      services: [],
      loads: [["j", "high"]],
    }],
  ];
  for (const [name, row] of cases) {
    it(name, () => {
      const { session, directory } = createSession(2);
      directory.applyProgressRows(toStoredRows({ learned: row }));
      session.load([]);
      const { fillerImages } = session.cell.pressure;
      session.close();
      expect([directory.learned, fillerImages.size]).to.eql([undefined, 0]);
    });
  }
});

describe("refreshing a stream tail", () => {
  it("delivers each row once, and no outdated row of a key", async () => {
    const store = new StoreModel();
    const write = (key: string, value: string) =>
      store.append("jobs", [{ key, value }], { kind: "none" });
    await write("a", "1");
    await write("a", "2");
    const seen: string[] = [];
    const options = { waitMs: 0, pauseMs: 1 };
    const onRows = (rows: readonly StoredRow[]) =>
      seen.push(...rows.map(({ key, value }) => `${key}=${value}`));
    const tail = new StreamTail(store, "jobs", options, onRows, log);
    await tail.refresh();
    await tail.refresh();
    await write("a", "3");
    await write("b", "1");
    await tail.refresh();
    await write("a", "4");
    await tail.refresh();
    expect(seen).to.eql(["a=2", "a=3", "b=1", "a=4"]);
  });

  it("reads all earlier rows, also during another read", async () => {
    const store = new StoreModel();
    const seen: string[] = [];
    const options = { waitMs: 0, pauseMs: 1 };
    const onRows = (rows: readonly StoredRow[]) =>
      seen.push(...rows.map(({ key }) => key));
    const tail = new StreamTail(store, "jobs", options, onRows, log);
    await tail.refresh();
    await store.append("jobs", [{ key: "a", value: "1" }], { kind: "none" });
    const slow = tail.refresh();
    await store.append("jobs", [{ key: "b", value: "1" }], { kind: "none" });
    await Promise.all([slow, tail.refresh()]);
    expect(seen).to.eql(["a", "b"]);
  });

  // Guards against requests that count as revoked, since a row of the read that
  // would show them could not be read.
  const reads = [
    { unreadable: 0, snapshots: 1 },
    { unreadable: 1, snapshots: 0 },
  ];
  for (const { unreadable, snapshots } of reads) {
    it(`tells of all keys ${snapshots} times with ${unreadable} unreadable`, async () => {
      const store = new StoreModel();
      const readNewest = store.readNewest.bind(store);
      store.readNewest = async (stream) =>
        (await readNewest(stream)).map((page) => ({ ...page, unreadable }));
      const options = { waitMs: 0, pauseMs: 1 };
      const tail = new StreamTail(store, "op", options, () => {}, log);
      let told = 0;
      tail.onSnapshot = () => told += 1;
      expect(await tail.refresh()).to.equal(true);
      expect(told).to.equal(snapshots);
    });
  }
});
