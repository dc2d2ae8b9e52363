import { expect } from "chai";
import { decodeConfiguration } from "../../platform/decode_configuration.ts";
import { decodeHeartbeat } from "../../platform/decode_heartbeat.ts";
import { decodeJob } from "../../platform/decode_job.ts";
import { decodeNewestPage } from "../../platform/decode_newest_page.ts";
import { decodeRecords } from "../../platform/decode_records.ts";
import { encodeRecords } from "../../platform/encode_records.ts";
import { matchRoute } from "../../platform/match_route.ts";
import { AdvisorHttpClient } from "../../platform/advisor_http_client.ts";
import { parseSettings } from "../../platform/parse_settings.ts";
import type { JobId } from "../../src/core/jobs/job_id.ts";

const id = "5c0e7a21d94b36f8" as JobId;
const step = { count: 1, cpu: 500, memMb: 256 };

describe("decoding a job from JSON", () => {
  const cases: { name: string; body: unknown; fault?: string }[] = [
    { name: "accepts a minimal job", body: { spec: "x", steps: [step] } },
    {
      name: "ignores unknown fields",
      body: { spec: "x", steps: [{ ...step, later: 1 }], other: 2 },
    },
    {
      name: "accepts a step that depends on an earlier one",
      body: { spec: "x", steps: [step, { ...step, dependsOn: [0] }] },
    },
    { name: "rejects a non-object", body: 7, fault: "body" },
    { name: "rejects 0 steps", body: { spec: "x", steps: [] }, fault: "steps" },
    {
      name: "rejects more tasks than a keeper can hold",
      body: {
        spec: "x",
        steps: Array.from({ length: 4 }, () => ({ ...step, count: 10_000 })),
      },
      fault: "steps",
    },
    { name: "rejects a missing spec", body: { steps: [step] }, fault: "spec" },
    {
      name: "rejects a step that depends on itself",
      body: { spec: "x", steps: [{ ...step, dependsOn: [0] }] },
      fault: "steps",
    },
    {
      name: "rejects a step that depends on a later one",
      body: { spec: "x", steps: [{ ...step, dependsOn: [1] }, step] },
      fault: "steps",
    },
    {
      name: "rejects a step without tasks",
      body: { spec: "x", steps: [{ ...step, count: 0 }] },
      fault: "steps.0.count",
    },
    {
      name: "rejects a negative resource",
      body: { spec: "x", steps: [{ ...step, cpu: -1 }] },
      fault: "steps.0.cpu",
    },
    {
      name: "rejects a field of the wrong type",
      body: { spec: "x", steps: [{ ...step, gang: "yes" }] },
      fault: "steps.0.gang",
    },
    {
      name: "rejects a spec that is too large",
      body: { spec: "x".repeat(4_001), steps: [step] },
      fault: "spec",
    },
  ];
  for (const { name, body, fault } of cases) {
    it(name, () => {
      const job = decodeJob(id, "q", body, 1);
      if (fault === undefined) expect(job).to.have.property("id", id);
      else {
        expect(job).to.have.property("fault").that.matches(
          new RegExp(`^${fault}`),
        );
      }
    });
  }

  it("converts every field", () => {
    const wire = {
      count: 2,
      cpu: 1_500,
      memMb: 2,
      gpu: 1,
      estimatedMs: 70,
      dependsOn: [],
      checkpoints: true,
      gang: true,
      sameRack: true,
      requirements: "b",
      dataRack: "r1",
      antiAffinity: 3,
      speculative: true,
      longRunning: true,
      image: "i",
      targetMs: 18,
      fills: true,
      mayMiss: 1,
    };
    const body = {
      spec: "s",
      steps: [wire],
      runCount: 3,
      firstRunMs: 5,
      intervalMs: 9,
    };
    expect(decodeJob(id, "q", body, 1)).to.eql({
      id,
      queue: "q",
      payload: "s",
      receivedMs: 1,
      schedule: { firstMs: 5, intervalMs: 9, count: 3 },
      steps: [{
        count: 2,
        resources: {
          cpuMilli: 1_500,
          memoryBytes: 2_097_152,
          accelerators: 1,
        },
        expectedMs: 70,
        after: [],
        savesProgress: true,
        isGang: true,
        sameRack: true,
        label: "b",
        dataRack: "r1",
        mostPerWorker: 3,
        isSpeculative: true,
        isService: true,
        image: "i",
        targetLatencyMs: 18,
        isFiller: true,
        mostAway: 1,
      }],
    });
  });
});

describe("decoding a heartbeat", () => {
  const heartbeat = {
    service: "s",
    address: "10.0.0.1:80",
    zone: "z",
    state: "ready",
    capacity: { cpu: 16_000, memMb: 1, gpu: 0 },
    labels: ["a", "r1-3"],
    sequence: 4,
    born: 7,
  };
  const cases: { name: string; change: object; isValid: boolean }[] = [
    { name: "a complete one", change: {}, isValid: true },
    { name: "one with unknown fields", change: { later: 1 }, isValid: true },
    { name: "a draining one", change: { state: "draining" }, isValid: true },
    { name: "an unknown state", change: { state: "odd" }, isValid: false },
    { name: "one without a service", change: { service: "" }, isValid: false },
    { name: "a wrong type", change: { sequence: "4" }, isValid: false },
    { name: "a null capacity", change: { capacity: null }, isValid: false },
  ];
  for (const { name, change, isValid } of cases) {
    it(`${name} is ${isValid ? "accepted" : "ignored"}`, () => {
      const info = decodeHeartbeat("i-1", { ...heartbeat, ...change });
      expect(info !== undefined).to.equal(isValid);
    });
  }

  // A field that only lowers a preference must not cost a heartbeat.
  it("reads how long the runner is cold, whatever else the field holds", () => {
    const coldForMs = (coldRemainingMs?: unknown) =>
      decodeHeartbeat("i-1", { ...heartbeat, coldRemainingMs })?.coldForMs;
    expect([coldForMs(), coldForMs(900), coldForMs("long"), coldForMs(null)])
      .to.eql([undefined, 900, 0, 0]);
  });

  it("finds the rack among the labels", () => {
    expect(decodeHeartbeat("i-1", heartbeat)?.rack).to.equal("r1-3");
  });
});

describe("store records", () => {
  const rows = [
    { key: "a", value: "1" },
    { key: "b", value: undefined },
    { key: "ключ", value: "значение" },
  ];

  function encodeAnswer(records: Buffer, end: bigint, first: bigint): Buffer {
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(end, 0);
    head.writeBigUInt64BE(first, 8);
    return Buffer.concat([head, records]);
  }

  it("round-trip through encoding and decoding", () => {
    const page = decodeRecords(encodeAnswer(encodeRecords(rows), 9n, 0n), 6)!;
    expect(page.rows.map(({ key, value }) => ({ key, value }))).to.eql(rows);
    expect(page.rows.map(({ offset }) => offset)).to.eql([6, 7, 8]);
    expect([page.next, page.end, page.unreadable]).to.eql([9, 9, 0]);
  });

  it("in an unknown format are skipped, but count in the offsets", () => {
    const malformed = Buffer.from([0, 0, 0, 2, 200, 1]);
    const empty = Buffer.from([0, 0, 0, 0]);
    const records = Buffer.concat([
      malformed,
      empty,
      encodeRecords(rows.slice(0, 1)),
    ]);
    const page = decodeRecords(encodeAnswer(records, 3n, 0n), 0)!;
    expect(page.rows.map(({ offset }) => offset)).to.eql([2]);
    expect(page.unreadable).to.equal(2);
  });

  it("that are truncated are left for the next read", () => {
    const records = encodeRecords(rows).subarray(0, 12);
    const page = decodeRecords(encodeAnswer(records, 3n, 0n), 0)!;
    expect([page.rows.length, page.next]).to.eql([1, 1]);
  });

  it("that are malformed are skipped in a page of newest rows", () => {
    const page = decodeNewestPage({
      items: [
        { key: "a", value: Buffer.from("1").toString("base64"), offset: 3 },
        { key: 7 },
      ],
      hasMore: true,
      end: 5,
    })!;
    expect(page).to.eql({
      rows: [{ key: "a", value: "1", offset: 3 }],
      unreadable: 1,
      end: 5,
      more: "a",
    });
  });

  // Guards against a first page that is taken for all pages.
  it("make a page unreadable if none of it tells where the next begins", () => {
    const page = { items: [{ key: 7 }], hasMore: true, end: 5 };
    expect(decodeNewestPage(page)).to.equal(undefined);
    expect(decodeNewestPage({ ...page, hasMore: false })?.unreadable)
      .to.equal(1);
  });
});

describe("decoding a configuration", () => {
  const route = {
    name: "r",
    host: "a.example",
    pathPrefix: "/x/",
    service: "s",
  };
  const cases = [
    {
      name: "a complete one",
      text: JSON.stringify({ version: 1, routes: [route] }),
      isValid: true,
    },
    { name: "text that is not JSON", text: "{", isValid: false },
    {
      name: "one without a version",
      text: JSON.stringify({ routes: [] }),
      isValid: false,
    },
    {
      name: "one with an invalid route",
      text: JSON.stringify({ version: 1, routes: [{}] }),
      isValid: false,
    },
  ];
  for (const { name, text, isValid } of cases) {
    it(`${name} is ${isValid ? "accepted" : "ignored"}`, () => {
      expect(decodeConfiguration(text) !== undefined).to.equal(isValid);
    });
  }

  it("routes a request to the queue with the longest prefix", () => {
    const routes = [route, { ...route, name: "long", pathPrefix: "/x/y/" }];
    const text = JSON.stringify({ version: 1, routes });
    const { queues } = decodeConfiguration(text)!;
    const describeRoute = (host: string, url: string) => {
      const routed = matchRoute(queues, host, url);
      return routed.kind === "job" || routed.kind === "queue"
        ? `${routed.kind} ${routed.queue.name}`
        : routed.kind;
    };
    expect(describeRoute("a.example", `/x/${id}`)).to.equal("job r");
    expect(describeRoute("A.example:80", `/x/y/${id}`)).to.equal("job long");
    expect(describeRoute("a.example", "/x/")).to.equal("queue r");
    expect(describeRoute("a.example", "/x/nothex")).to.equal("malformed_id");
    expect(describeRoute("b.example", `/x/${id}`)).to.equal("none");
    expect(describeRoute("a.example", "/z/")).to.equal("none");
  });
});

describe("parsing the platform's settings", () => {
  const lines = [
    "node=front-a-1",
    "ip=10.1.0.13",
    "internalPorts=7720,7735",
    "platform.address=10.200.1.7:8169",
    "bounds.maxHoldMs=5000",
    "field.of.tomorrow=1",
  ];

  it("reads known settings and ignores unknown ones", () => {
    const { options, storeAddress } = parseSettings(lines.join("\n"));
    expect(options.node).to.equal("front-a-1");
    expect(options.peerPort).to.equal(7720);
    expect(options.bounds.maxHoldMs).to.equal(5_000);
    expect(storeAddress).to.equal("10.200.1.7:8169");
  });

  it("lets a deployment evacuate only if the settings say so", () => {
    const evacuateMs = (text: string) =>
      parseSettings(text).options.bounds.evacuateMs;
    const text = lines.join("\n");
    expect(evacuateMs(text)).to.equal(undefined);
    expect(evacuateMs(`${text}\nbounds.evacuateMs=5000`)).to.equal(5_000);
  });

  const cases = [
    { without: "node", fault: "no node" },
    { without: "ip", fault: "no ip" },
    { without: "platform.address", fault: "no platform.address" },
  ];
  for (const { without, fault } of cases) {
    it(`rejects settings without ${without}`, () => {
      const remaining = lines.filter((line) => !line.startsWith(`${without}=`));
      expect(() => parseSettings(remaining.join("\n"))).to.throw(fault);
    });
  }

  const features = [
    { line: "", holds: false },
    { line: "features.holdsSubmissions=false", holds: false },
    { line: "features.holdsSubmissions=true", holds: true },
  ];
  for (const { line, holds } of features) {
    it(`holds submissions in outages: ${holds} with "${line}"`, () => {
      const { options } = parseSettings([...lines, line].join("\n"));
      expect(options.hardLoad.holdsSubmissions).to.equal(holds);
    });
  }

  it("rejects a feature that is neither on nor off", () => {
    const text = `${lines.join("\n")}\nfeatures.holdsSubmissions=yes`;
    expect(() => parseSettings(text)).to.throw("neither true nor false");
  });

  it("rejects a word where a number is expected", () => {
    const text = `${lines.join("\n")}\nbounds.maxHoldMs=long`;
    expect(() => parseSettings(text)).to.throw("bounds.maxHoldMs is no number");
  });
});

describe("a deployment without an advisor", () => {
  it("fails queries for advice with a clear message", async () => {
    const advisor = new AdvisorHttpClient("");
    const message = await advisor.requestTickets("j.0.0", [], 100).catch((
      cause: Error,
    ) => cause.message);
    expect(message).to.equal("no advisor is set");
  });
});
