import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import fc from "fast-check";
import { Logger } from "../src/adapters/logger.ts";
import { Election } from "../src/cellhost/election.ts";
import { JobDirectory } from "../src/cellhost/job_directory.ts";
import { learnedKey } from "../src/cellhost/learned_key.ts";
import { loadJob } from "../src/cellhost/load_job.ts";
import { progressKey } from "../src/cellhost/progress_key.ts";
import { runTimesKey } from "../src/cellhost/run_times_key.ts";
import { RowReader } from "../src/cellhost/row_reader.ts";
import { encodeJob } from "../src/core/cell/encode_job.ts";
import { RunTimeEstimator } from "../src/core/estimate/run_time_estimator.ts";
import { PressureModel } from "../src/core/interfere/pressure_model.ts";
import type { JobDefinition } from "../src/core/jobs/job_definition.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import { PeerAnnouncer } from "../src/nodes/peer_announcer.ts";
import { MemberRow } from "../src/schema/rows/member_row.ts";
import { decodeConfiguration } from "../platform/decode_configuration.ts";
import { decodeHeartbeat } from "../platform/decode_heartbeat.ts";
import { decodeHold } from "../platform/decode_hold.ts";
import { decodeJob } from "../platform/decode_job.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";
import { CellFixture } from "./cell_fixture.ts";
import { oddRowsLike } from "./odd_rows.ts";

const log = new Logger("silent", {});
const options = { seed: 11, numRuns: 1_500 };
const { step } = CellFixture;

function definitionOf(id: string): JobDefinition {
  return {
    id: id as JobId,
    queue: "q",
    payload: "p",
    steps: [step({ count: 2 }), step({ after: [0], label: "gpu" })],
    schedule: { firstMs: 1, intervalMs: 50, count: 3 },
    receivedMs: 5,
  };
}

const progress = {
  s: "r",
  n: 1,
  w: [["w", "w@1"]],
  o: [[0, [[[4, 0, "c", 0, "", 1], 0], 0]]],
};
const member = {
  role: "sidecar",
  host: "127.0.0.1",
  port: 7_000,
  incarnation: "i",
  strength: 1,
};

/** A cell with all that a directory knows, on which a worker reports. */
function loadAll(directory: JobDirectory): CellFixture {
  const fixture = new CellFixture();
  const { cell } = fixture;
  for (const [id, definition] of directory.definitions) {
    const row = directory.progressOf(id);
    loadJob(cell, definition, row, fixture.nowMs, log);
  }
  if (directory.learned) cell.restoreLearned(directory.learned);
  new RunTimeEstimator().restore(directory.runTimes ?? { kinds: [] });
  for (const job of cell.liveJobs) job.openDueOccurrences(fixture.wallMs);
  fixture.reportWorker("w");
  fixture.advance();
  fixture.advance(50);
  for (const job of cell.jobs.values()) JSON.stringify(encodeJob(job));
  return fixture;
}

// Guards against an entry of another program that ends the processes that read
// it, or costs them the rest of the page.
describe("an odd row", () => {
  it("among those of jobs changes nothing, and its key stays free", () => {
    fc.assert(
      fc.property(oddRowsLike(definitionOf("odd")), (value) => {
        const directory = new JobDirectory(log);
        directory.applyJobRows([
          { key: "odd", value: value === "" ? undefined : value, offset: 0 },
          { key: "j", value: JSON.stringify(definitionOf("j")), offset: 1 },
        ]);
        expect(directory.state("j" as JobId)).to.equal("queued");
        const fixture = loadAll(directory);
        expect(fixture.cell.jobs.has("j" as JobId)).to.equal(true);
        if (directory.definitions.has("odd" as JobId)) return;
        directory.submit(definitionOf("odd"));
        expect(directory.state("odd" as JobId)).to.equal("queued");
      }),
      options,
    );
  });

  it("among those of progress changes nothing that was known", () => {
    fc.assert(
      fc.property(oddRowsLike(progress), (value) => {
        const directory = new JobDirectory(log);
        for (const id of ["odd", "known", "j"]) {
          directory.submit(definitionOf(id));
        }
        const rowOf = (id: string, text: string, offset: number) => ({
          key: progressKey(id as JobId),
          value: text,
          offset,
        });
        const good = JSON.stringify(progress);
        directory.applyProgressRows([
          rowOf("known", good, 0),
          rowOf("odd", value, 1),
          rowOf("known", value === "" ? "{" : value, 2),
          rowOf("j", good, 3),
        ]);
        expect(directory.rows.get("j" as JobId)).to.eql(progress);
        const fixture = loadAll(directory);
        expect(fixture.cell.jobs.has("j" as JobId)).to.equal(true);
        const known = directory.rows.get("known" as JobId);
        const starts = fixture.newStarts().filter((each) =>
          each.startsWith("known.0.0.0#1")
        );
        // A readable row may say that nothing has begun; no other may.
        if (JSON.stringify(known) === good) expect(starts).to.eql([]);
        directory.applyProgressRows([rowOf("odd", good, 4)]);
        expect(directory.rows.get("odd" as JobId)).to.eql(progress);
      }),
      options,
    );
  });

  const pressure = new PressureModel();
  pressure.learn("s", "j", 1.2, new Map([["f", 0.2]]));
  const learned = [
    { key: learnedKey, valid: pressure.encode() },
    {
      key: runTimesKey,
      valid: { kinds: [["k", [1, 1, 1, 1, 1], 3, [1, 0.5]]] },
    },
  ];
  for (const { key, valid } of learned) {
    it(`of what was learned ends no keeper: ${key}`, () => {
      fc.assert(
        fc.property(oddRowsLike(valid), (value) => {
          const directory = new JobDirectory(log);
          directory.submit(definitionOf("j"));
          directory.applyProgressRows([{ key, value, offset: 0 }]);
          const { pressure } = loadAll(directory).cell;
          const use = new Map([["f", 0.2]]);
          expect(pressure.expectedLoad("s", "j", use)).to.satisfy(
            Number.isFinite,
          );
        }),
        options,
      );
    });
  }

  it("among those of members names no address to connect to", () => {
    const reader = new RowReader("members", log);
    fc.assert(
      fc.property(oddRowsLike(member), (value) => {
        const row = reader.read(MemberRow, { key: "odd", value });
        if (row === undefined) return;
        expect(row.port).to.be.within(1, 65_535);
        expect(row.host).to.be.a("string");
      }),
      options,
    );
  });

  it("of an election elects nobody, and the next campaign wins", async () => {
    const texts = fc.sample(
      oddRowsLike({ node: "n", incarnation: "i" }),
      { seed: 3, numRuns: 40 },
    );
    for (const text of texts) {
      const store = new StoreModel();
      const self = { node: "self" as NodeId, incarnation: "1" };
      const rows = [{ key: "cell", value: text }];
      await store.append("epochs", rows, { kind: "none" });
      const election = new Election(store, self, log);
      await election.tail.refresh();
      await election.campaign("first");
      await election.tail.refresh();
      expect(election.isWon).to.equal(true);
      election.tail.stop();
    }
    await sleep(0);
  });

  it("is logged once for its key, until it can be read", () => {
    const lines: string[] = [];
    const recording = { warn: (event: string) => lines.push(event) };
    const reader = new RowReader("members", recording as unknown as Logger);
    const good = JSON.stringify(member);
    for (const value of ["{}", "{", good, "{}", "{}"]) {
      reader.read(MemberRow, { key: "a", value });
    }
    for (let index = 0; index < 5_000; index++) {
      reader.read(MemberRow, { key: `k${index}`, value: "{}" });
    }
    expect(lines).to.have.length(1_001);
  });
});

// Guards against a member that no keeper finds once its row was overwritten.
describe("a member without a keeper", () => {
  it("stores its row again, at a bounded rate, until one connects", async () => {
    const store = new StoreModel();
    const clock = new VirtualClock();
    let hasKeeper = true;
    const row = { ...member, role: "sidecar" } as const;
    const announcer = new PeerAnnouncer(
      store,
      "m" as NodeId,
      row,
      () => hasKeeper,
      clock,
      log,
    );
    void announcer.run();
    await clock.advance(20_000);
    expect(store.appendCount).to.equal(1);
    const odd = [{ key: "m", value: "{}" }];
    await store.append("members", odd, { kind: "none" });
    hasKeeper = false;
    await clock.advance(4_000);
    expect(store.newestValue("members", "m")).to.equal(JSON.stringify(row));
    await clock.advance(60_000);
    expect(store.appendCount).to.be.within(10, 25);
    announcer.stop();
  });
});

describe("an odd body", () => {
  const heartbeat = {
    service: "s",
    address: "127.0.0.1:80",
    zone: "z",
    state: "ready",
    capacity: { cpu: 1_000, memMb: 10, gpu: 0 },
    labels: ["a", "r1"],
    sequence: 1,
    coldRemainingMs: 0,
    born: 1,
  };
  const hold = {
    clockMs: 5,
    born: 1,
    running: [["j.0.0.0", 1, "c", 40, 7]],
    ended: [[1, "j.0.0.1", 1, "done", ""]],
  };
  const configuration = {
    version: 1,
    routes: [{
      name: "q",
      host: "h",
      pathPrefix: "/q/",
      service: "s",
      advice: { decideMs: 1, perWorkerMs: 1, validMs: 1 },
    }],
  };
  const job = { spec: "x", steps: [{ count: 1, cpu: 5, estimatedMs: 9 }] };
  const parse = (text: string): unknown => {
    try {
      return JSON.parse(text);
    } catch {
      return undefined;
    }
  };
  const cases: {
    name: string;
    valid: unknown;
    decode: (text: string) => unknown;
  }[] = [
    {
      name: "of a heartbeat",
      valid: heartbeat,
      decode: (text) => decodeHeartbeat("i", parse(text)),
    },
    {
      name: "of a runner's lists",
      valid: hold,
      decode: (text) => decodeHold(parse(text)),
    },
    {
      name: "of the configuration",
      valid: configuration,
      decode: decodeConfiguration,
    },
    {
      name: "of a job",
      valid: job,
      decode: (text) =>
        decodeJob("0123456789abcdef" as JobId, "q", parse(text), 1),
    },
  ];
  for (const { name, valid, decode } of cases) {
    it(`${name} is refused, or gives numbers that can be counted on`, () => {
      fc.assert(
        fc.property(oddRowsLike(valid), (text) => {
          const decoded = decode(text);
          JSON.stringify(decoded, (_key, value) => {
            if (typeof value === "number") {
              expect(value).to.satisfy(Number.isFinite);
            }
            return value;
          });
        }),
        options,
      );
    });
  }
});
