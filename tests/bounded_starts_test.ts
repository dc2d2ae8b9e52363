import { type AddressInfo, connect, createServer } from "node:net";
import { expect } from "chai";
import { StopBatch } from "../src/cellhost/stop_batch.ts";
import { sendKnownRuns } from "../src/cellhost/send_known_runs.ts";
import type { KeeperLinks } from "../src/cellhost/keeper_links.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import type { RunnerClient } from "../src/gate/runner_client.ts";
import { Channel } from "../src/link/channel.ts";
import { isKeeperMessage } from "../src/link/is_keeper_message.ts";
import type { KeeperMessage } from "../src/link/keeper_message.ts";
import type { RunnerModel } from "../stand_ins/runner/runner_model.ts";
import { CellFixture } from "./cell_fixture.ts";
import { GateFixture } from "./gate_fixture.ts";

const { step } = CellFixture;
const tiny = { cpuMilli: 1, memoryBytes: 1, accelerators: 0 };
const capacity = { cpuMilli: 1e6, memoryBytes: 1e12, accelerators: 0 };
const count = 300;
const maxCalls = 32;
const maxPendingStarts = 64;

/** Counts a runner's calls, all and those under way at once. */
function countCalls(runner: RunnerModel) {
  const counts = { most: 0, now: 0, commands: 0, polls: 0 };
  const counted =
    <A, R>(call: (argument: A) => Promise<R>) =>
    async (argument: A): Promise<R> => {
      counts.commands += 1;
      counts.now += 1;
      counts.most = Math.max(counts.most, counts.now);
      const answer = await call(argument);
      counts.now -= 1;
      return answer;
    };
  const calls: RunnerClient = runner;
  const { hold, pace, start, stop } = calls;
  calls.start = counted(start.bind(runner));
  calls.stop = counted(stop.bind(runner));
  calls.pace = counted(pace.bind(runner));
  calls.hold = (request) => {
    counts.polls += 1;
    return hold.call(runner, request);
  };
  return counts;
}

async function startGate() {
  const fixture = new GateFixture();
  await fixture.start();
  const counts = countCalls(fixture.runner);
  const starts = Array.from(
    { length: count },
    (_, index) =>
      fixture.startCommand({
        task: `j.0.0.${index}` as TaskName,
        resources: tiny,
      }),
  );
  return { fixture, counts, starts };
}

// Guards against sidecars that run out of memory, since a large job has
// thousands of calls under way at once.
describe("a gate that gets many commands at once", () => {
  it("makes a bounded number of calls at a time, and all of them", async () => {
    const { fixture, counts, starts } = await startGate();
    fixture.sendStarts(...starts);
    await fixture.clock.advance(200);
    expect(fixture.runner.running.size).to.equal(count);
    expect([counts.commands, counts.most]).to.eql([count, maxCalls]);
    for (const start of starts) fixture.sendStop(start);
    await fixture.clock.advance(200);
    expect(fixture.runner.running.size).to.equal(0);
    expect([counts.commands, counts.most]).to.eql([2 * count, maxCalls]);
    expect(counts.polls).to.be.below(count / 3);
    fixture.gate.stop();
  });

  it("does so while its runner does not answer", async () => {
    const { fixture, counts, starts } = await startGate();
    fixture.runner.isSilent = true;
    fixture.sendStarts(...starts);
    await fixture.clock.advance(2_000);
    expect(counts.most).to.equal(maxCalls);
    expect(counts.polls).to.be.below(20);
    fixture.gate.stop();
  });

  const reasons = [
    {
      name: "that are cancelled meanwhile",
      reason: "old",
      end: (fixture: GateFixture, starts: ReturnType<typeof commands>) => {
        for (const start of starts) fixture.sendStop(start);
      },
    },
    {
      name: "once the runner drains",
      reason: "draining",
      // Those that may have been carried out already are repeated.
      runs: maxCalls,
      end: (fixture: GateFixture) => fixture.sendHeartbeat(9, true),
    },
    {
      name: "once the lease has ended",
      reason: "old",
      end: async (fixture: GateFixture) => {
        fixture.isRenewing = false;
        await fixture.clock.advance(14_000);
      },
    },
  ];
  for (const { name, reason, runs = 0, end } of reasons) {
    it(`sends none of those that wait ${name}`, async () => {
      const { fixture, starts } = await startGate();
      fixture.runner.isSilent = true;
      fixture.sendStarts(...starts);
      await fixture.clock.advance(200);
      await end(fixture, starts);
      fixture.runner.isSilent = false;
      await fixture.clock.advance(3_000);
      expect(fixture.runner.startCount).to.be.at.most(maxCalls);
      expect(fixture.runner.running.size).to.equal(runs);
      const refused = fixture.refusals().filter((line) =>
        line.endsWith(` ${reason}`)
      );
      expect(refused.length).to.be.at.least(count - maxCalls);
      fixture.gate.stop();
    });
  }
});

function commands(fixture: GateFixture) {
  return [fixture.startCommand()];
}

function largeFixture(): CellFixture {
  const fixture = new CellFixture();
  for (const node of ["w", "v"]) fixture.reportWorker(node, { capacity });
  fixture.submit("large", [step({ count: 1_000, resources: tiny })]);
  fixture.advance();
  return fixture;
}

function countStarts(fixture: CellFixture): number {
  return fixture.newStarts().length;
}

// Guards against small jobs that wait for all tasks of a large one.
describe("a large job", () => {
  const mostOfJob = 2 * maxPendingStarts * 0.75;

  it("has a bounded number of starts under way", () => {
    const fixture = largeFixture();
    expect(countStarts(fixture)).to.equal(mostOfJob);
    fixture.advance(50);
    expect(countStarts(fixture)).to.equal(0);
  });

  it("leaves starts to a job that comes after it", () => {
    const fixture = largeFixture();
    fixture.newStarts();
    fixture.submit("small", [step({ resources: tiny })]);
    fixture.advance(50);
    expect(fixture.newStarts().join()).to.match(/^small\.0\.0\.0#1@[wv]$/);
  });

  it("goes on at the next decision after its starts have been confirmed", () => {
    const fixture = largeFixture();
    let started = countStarts(fixture);
    for (let round = 0; round < 20 && started < 1_000; round++) {
      for (const node of ["w", "v"]) {
        const running = fixture.runningOn(node);
        fixture.reportWorker(node, { capacity, running });
      }
      fixture.advance(50);
      started += countStarts(fixture);
    }
    expect(started).to.equal(1_000);
  });

  it("is not held up by a worker that confirms none", () => {
    const fixture = largeFixture();
    let started = countStarts(fixture);
    for (let round = 0; round < 30; round++) {
      const running = fixture.runningOn("v");
      fixture.reportWorker("v", { capacity, running });
      fixture.reportWorker("w", { capacity });
      fixture.advance(50);
      started += countStarts(fixture);
    }
    expect(started).to.be.above(700);
    expect(fixture.runsOn("w").length).to.be.at.most(maxPendingStarts);
  });

  it("has its starts repeated a bounded number at a time", () => {
    const fixture = new CellFixture();
    fixture.reportWorker("w", { capacity });
    fixture.submit("large", [step({ count: 1_000, resources: tiny })]);
    for (let round = 0; round < 30; round++) {
      const running = fixture.runningOn("w");
      fixture.reportWorker("w", { capacity, running });
      fixture.advance(50);
    }
    expect(fixture.runsOn("w").length).to.equal(1_000);
    fixture.newStarts();
    fixture.cell.handleDisconnect("w" as NodeId);
    fixture.reportWorker("w", { capacity, running: [] });
    expect(countStarts(fixture)).to.equal(maxPendingStarts);
  });

  it("is stopped with one message for each worker", () => {
    const fixture = largeFixture();
    const batch = new StopBatch();
    fixture.effects.length = 0;
    fixture.collect(fixture.cell.cancel("large" as JobId, fixture.nowMs));
    for (const effect of fixture.effects) {
      if (effect.kind === "stop") batch.add(effect);
    }
    const sent: [NodeId, number][] = [];
    const links = {
      send: (node: NodeId, message: KeeperMessage) =>
        sent.push([node, message.kind === "orders" ? message.stops.length : 0]),
    };
    batch.sendTo(links as unknown as KeeperLinks);
    batch.sendTo(links as unknown as KeeperLinks);
    expect(sent).to.eql([["w", mostOfJob / 2], ["v", mostOfJob / 2]]);
  });

  it("is described to a sidecar without its payload", () => {
    const fixture = largeFixture();
    const sent: KeeperMessage[] = [];
    const link = {
      node: "w" as NodeId,
      send: (message: KeeperMessage) => sent.push(message),
    };
    sendKnownRuns(link, fixture.cell.worker("w" as NodeId));
    const [known] = sent;
    expect(isKeeperMessage(known)).to.equal(true);
    const runs = known?.kind === "known" ? known.runs : [];
    expect(runs.length).to.equal(mostOfJob / 2);
    expect(new Set(runs.map(({ payload }) => payload))).to.eql(new Set([""]));
  });

  // Guards against a keeper that decides nothing else for seconds.
  it("of one gang that is spread is placed with looks that grow with its size", () => {
    const size = 4_000;
    const fixture = new CellFixture();
    for (const node of ["w", "v"]) fixture.reportWorker(node, { capacity });
    const mostPerWorker = size / 2;
    fixture.submit("gang", [
      step({ count: size, resources: tiny, isGang: true, mostPerWorker }),
    ]);
    let looks = 0;
    for (const task of fixture.cell.jobs.get("gang" as JobId)!.tasks()) {
      let { claim } = task;
      Object.defineProperty(task, "claim", {
        get: () => {
          looks += 1;
          return claim;
        },
        set: (next) => claim = next,
      });
    }
    fixture.advance();
    expect(countStarts(fixture)).to.equal(size);
    expect(looks).to.be.below(100 * size);
  });
});

describe("a channel", () => {
  // Guards against a worker with many runs that no keeper can adopt, since the
  // message about them closes each connection.
  const cases = [
    { name: "passes on one long message", messages: 1, isOpen: true },
    {
      name: "closes when its peer does not read a backlog of them",
      messages: 8,
      isOpen: false,
    },
  ];
  for (const { name, messages, isOpen } of cases) {
    it(name, async () => {
      let receive: (length: number) => void;
      const received = new Promise<number>((resolve) => receive = resolve);
      const server = createServer((socket) => {
        if (!isOpen) {
          socket.pause();
          return;
        }
        const channel = new Channel<never, KeeperMessage>(
          socket,
          isKeeperMessage,
        );
        channel.onMessage = (message) =>
          receive(JSON.stringify(message).length);
      });
      await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
      const { port } = server.address() as AddressInfo;
      const socket = connect(port, "127.0.0.1");
      await new Promise<void>((done) => socket.once("connect", done));
      const channel = new Channel(socket, isKeeperMessage);
      const message = { kind: "long", text: "x".repeat(6_000_000) };
      for (let sent = 0; sent < messages; sent++) channel.send(message);
      expect(channel.isOpen).to.equal(isOpen);
      if (isOpen) expect(await received).to.be.above(6_000_000);
      channel.close("the test is over");
      server.close();
    });
  }
});
