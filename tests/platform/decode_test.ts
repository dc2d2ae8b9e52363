import { expect } from "chai";
import { decodeConfiguration } from "../../platform/decode_configuration.ts";
import { decodeHeartbeat } from "../../platform/decode_heartbeat.ts";
import { decodeJob } from "../../platform/decode_job.ts";
import { decodeNewest } from "../../platform/decode_newest.ts";
import { decodeRecords } from "../../platform/decode_records.ts";
import { encodeRecords } from "../../platform/encode_records.ts";
import { routeRequest } from "../../platform/route_request.ts";
import { AdvisorHttp } from "../../platform/advisor_http.ts";
import { parseSettings } from "../../platform/parse_settings.ts";
import type { JobId } from "../../src/core/jobs/job_id.ts";

const id = "5c0e7a21d94b36f8" as JobId;
const step = { count: 1, cpu: 500, memMb: 256 };

describe("a job from the wire", () => {
  const cases: { name: string; body: unknown; fault?: string }[] = [
    { name: "plain", body: { spec: "x", steps: [step] } },
    {
      name: "with unknown fields",
      body: { spec: "x", steps: [{ ...step, later: 1 }], other: 2 },
    },
    {
      name: "with steps in order",
      body: { spec: "x", steps: [step, { ...step, dependsOn: [0] }] },
    },
    { name: "no object", body: 7, fault: "body" },
    { name: "without steps", body: { spec: "x", steps: [] }, fault: "steps" },
    { name: "without spec", body: { steps: [step] }, fault: "spec" },
    {
      name: "that depends on itself",
      body: { spec: "x", steps: [{ ...step, dependsOn: [0] }] },
      fault: "steps",
    },
    {
      name: "that depends on a later step",
      body: { spec: "x", steps: [{ ...step, dependsOn: [1] }, step] },
      fault: "steps",
    },
    {
      name: "with no task",
      body: { spec: "x", steps: [{ ...step, count: 0 }] },
      fault: "steps.0.count",
    },
    {
      name: "with less than nothing",
      body: { spec: "x", steps: [{ ...step, cpu: -1 }] },
      fault: "steps.0.cpu",
    },
    {
      name: "with a wrong type",
      body: { spec: "x", steps: [{ ...step, gang: "yes" }] },
      fault: "steps.0.gang",
    },
    {
      name: "with too large a spec",
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

  it("leaves nothing out", () => {
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

describe("a heartbeat from the wire", () => {
  const beat = {
    service: "s",
    address: "10.0.0.1:80",
    zone: "z",
    state: "ready",
    capacity: { cpu: 16_000, memMb: 1, gpu: 0 },
    labels: ["a", "r1-3"],
    sequence: 4,
    born: 7,
  };
  const cases: { name: string; change: object; isRead: boolean }[] = [
    { name: "whole", change: {}, isRead: true },
    { name: "with more", change: { later: 1 }, isRead: true },
    { name: "draining", change: { state: "draining" }, isRead: true },
    {
      name: "in a state nobody knows",
      change: { state: "odd" },
      isRead: false,
    },
    { name: "without service", change: { service: "" }, isRead: false },
    { name: "with a wrong type", change: { sequence: "4" }, isRead: false },
    { name: "without room", change: { capacity: null }, isRead: false },
  ];
  for (const { name, change, isRead } of cases) {
    it(`${name} is ${isRead ? "read" : "ignored"}`, () => {
      const info = decodeHeartbeat("i-1", { ...beat, ...change });
      expect(info !== undefined).to.equal(isRead);
    });
  }

  it("tells kind and rack apart", () => {
    expect(decodeHeartbeat("i-1", beat)?.rack).to.equal("r1-3");
  });
});

describe("records of the store", () => {
  const rows = [
    { key: "a", value: "1" },
    { key: "b", value: undefined },
    { key: "ключ", value: "значение" },
  ];

  function answer(records: Buffer, end: bigint, first: bigint): Buffer {
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(end, 0);
    head.writeBigUInt64BE(first, 8);
    return Buffer.concat([head, records]);
  }

  it("come back as they were written", () => {
    const page = decodeRecords(answer(encodeRecords(rows), 9n, 0n), 6);
    expect(page.rows.map(({ key, value }) => ({ key, value }))).to.eql(rows);
    expect(page.rows.map(({ offset }) => offset)).to.eql([6, 7, 8]);
    expect([page.next, page.end, page.unreadable]).to.eql([9, 9, 0]);
  });

  it("of another writer are passed over, with their offset", () => {
    const odd = Buffer.from([0, 0, 0, 2, 200, 1]);
    const empty = Buffer.from([0, 0, 0, 0]);
    const records = Buffer.concat([
      odd,
      empty,
      encodeRecords(rows.slice(0, 1)),
    ]);
    const page = decodeRecords(answer(records, 3n, 0n), 0);
    expect(page.rows.map(({ offset }) => offset)).to.eql([2]);
    expect(page.unreadable).to.equal(2);
  });

  it("cut short are read again", () => {
    const records = encodeRecords(rows).subarray(0, 12);
    const page = decodeRecords(answer(records, 3n, 0n), 0);
    expect([page.rows.length, page.next]).to.eql([1, 1]);
  });

  it("of the newest page are read, and the others passed over", () => {
    const page = decodeNewest({
      items: [
        { key: "a", value: Buffer.from("1").toString("base64"), offset: 3 },
        { key: 7 },
      ],
      hasMore: true,
      end: 5,
    });
    expect(page).to.eql({
      rows: [{ key: "a", value: "1", offset: 3 }],
      unreadable: 1,
      end: 5,
      more: "a",
    });
  });
});

describe("a configuration from the wire", () => {
  const route = {
    name: "r",
    host: "a.example",
    pathPrefix: "/x/",
    service: "s",
  };
  const cases = [
    {
      name: "whole",
      text: JSON.stringify({ version: 1, routes: [route] }),
      isRead: true,
    },
    { name: "not JSON", text: "{", isRead: false },
    {
      name: "without version",
      text: JSON.stringify({ routes: [] }),
      isRead: false,
    },
    {
      name: "with a wrong route",
      text: JSON.stringify({ version: 1, routes: [{}] }),
      isRead: false,
    },
  ];
  for (const { name, text, isRead } of cases) {
    it(`${name} is ${isRead ? "read" : "ignored"}`, () => {
      expect(decodeConfiguration(text) !== undefined).to.equal(isRead);
    });
  }

  it("gives each request the queue with the longest prefix", () => {
    const routes = [route, { ...route, name: "long", pathPrefix: "/x/y/" }];
    const text = JSON.stringify({ version: 1, routes });
    const { queues } = decodeConfiguration(text)!;
    const kindOf = (host: string, url: string) => {
      const routed = routeRequest(queues, host, url);
      return routed.kind === "job" || routed.kind === "queue"
        ? `${routed.kind} ${routed.queue.name}`
        : routed.kind;
    };
    expect(kindOf("a.example", `/x/${id}`)).to.equal("job r");
    expect(kindOf("A.example:80", `/x/y/${id}`)).to.equal("job long");
    expect(kindOf("a.example", "/x/")).to.equal("queue r");
    expect(kindOf("a.example", "/x/nothex")).to.equal("malformed_id");
    expect(kindOf("b.example", `/x/${id}`)).to.equal("none");
    expect(kindOf("a.example", "/z/")).to.equal("none");
  });
});

describe("the platform's settings", () => {
  const lines = [
    "node=front-a-1",
    "ip=10.1.0.13",
    "internalPorts=7720,7735",
    "platform.address=10.200.1.7:8169",
    "bounds.maxHoldMs=5000",
    "field.of.tomorrow=1",
  ];

  it("are read, and what is not known is ignored", () => {
    const { options, storeAddress } = parseSettings(lines.join("\n"));
    expect(options.node).to.equal("front-a-1");
    expect(options.memberPort).to.equal(7720);
    expect(options.bounds.maxHoldMs).to.equal(5_000);
    expect(storeAddress).to.equal("10.200.1.7:8169");
  });

  const cases = [
    { without: "node", fault: "no node" },
    { without: "ip", fault: "no ip" },
    { without: "platform.address", fault: "no platform.address" },
  ];
  for (const { without, fault } of cases) {
    it(`without ${without} are refused`, () => {
      const left = lines.filter((line) => !line.startsWith(`${without}=`));
      expect(() => parseSettings(left.join("\n"))).to.throw(fault);
    });
  }

  it("with a word for a number are refused", () => {
    const text = `${lines.join("\n")}\nbounds.maxHoldMs=long`;
    expect(() => parseSettings(text)).to.throw("bounds.maxHoldMs is no number");
  });
});

describe("an installation without an advisor", () => {
  it("serves, and says so where it is asked for", async () => {
    const advisor = new AdvisorHttp("");
    const why = await advisor.ask("j.0.0", []).catch((cause: Error) =>
      cause.message
    );
    expect(why).to.equal("no advisor is set");
  });
});
