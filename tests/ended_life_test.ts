import { expect } from "chai";
import { Logger } from "../src/adapters/logger.ts";
import { PrometheusMetrics } from "../src/adapters/prometheus_metrics.ts";
import { releaseEndedLife } from "../src/core/cell/release_ended_life.ts";
import { JobDirectory } from "../src/cellhost/job_directory.ts";
import type { KeeperLinks } from "../src/cellhost/keeper_links.ts";
import { KeeperSession } from "../src/cellhost/keeper_session.ts";
import { RowWriter } from "../src/cellhost/row_writer.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import { createPeersTail } from "../src/nodes/create_peers_tail.ts";
import { PeerAnnouncer } from "../src/nodes/peer_announcer.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { CellFixture } from "./cell_fixture.ts";
import { GateFixture } from "./gate_fixture.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";

const log = new Logger("silent", {});
const node = "w" as NodeId;
const life = "w@1" as RunnerLife;

function createAnnouncer(store: StoreModel, clock: VirtualClock) {
  const row = {
    role: "sidecar",
    host: "127.0.0.1",
    port: 7_000,
    incarnation: "1",
    strength: 1,
  } as const;
  return new PeerAnnouncer(store, node, row, () => true, clock, log);
}

/** What a keeper that is elected now knows of the worker's ended life. */
async function readEndedLife(store: StoreModel) {
  return (await readWorker(store)).endedLife;
}

async function readWorker(store: StoreModel) {
  const clock = new VirtualClock();
  const heartbeat = () => ({ key: "keeper", value: "{}" });
  const links: KeeperLinks = {
    onEntryConnected: () => {},
    onMessage: () => {},
    onSidecarLost: () => {},
    set: () => {},
    send: () => {},
    sendToEntries: () => {},
    hasEntry: () => true,
    close: () => {},
  };
  const session = new KeeperSession({
    epoch: 1,
    writer: new RowWriter(store, "cell", 1, heartbeat, () => {}, clock, log),
    directory: new JobDirectory(log),
    bounds: { maxHoldMs: 6_000 },
    links,
    advisor: { requestTickets: () => Promise.resolve(new Map()) },
    clock,
    metrics: new PrometheusMetrics(),
    log,
  });
  await createPeersTail(session, "k" as NodeId, store, log).refresh();
  session.close();
  return session.cell.worker(node);
}

// Guards against an ended life that is lost to keepers elected later.
describe("the ended life that a sidecar has stored outlasts", () => {
  const cases: [string, (store: StoreModel, clock: VirtualClock) => unknown][] =
    [
      ["an append of its address that is executed late", (store) => {
        store.applyDelayed();
      }],
      ["the address of its next process", (store, clock) => {
        void createAnnouncer(store, clock).run();
        return clock.advance(1_000);
      }],
    ];
  for (const [name, follow] of cases) {
    it(name, async () => {
      const store = new StoreModel();
      const clock = new VirtualClock();
      store.faults.push("late");
      const announcer = createAnnouncer(store, clock);
      void announcer.run();
      await clock.advance(1_000);
      await announcer.announceEnd(life);
      expect(await readEndedLife(store)).to.equal(life);
      await follow(store, clock);
      expect(await readEndedLife(store)).to.equal(life);
    });
  }
});

// Guards against a claim in a life before the one that is stored as ended, which
// waits for a lease though the sidecar saw that life end.
describe("the lives before an ended life", () => {
  const earlier = "w@0" as RunnerLife;
  const later = "w@2" as RunnerLife;

  it("are told by the sidecar that has seen them", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    const { instance, bornMs } = fixture.runner;
    fixture.runner.restart();
    fixture.sendHeartbeat(1);
    await fixture.clock.advance(8_000);
    const told: unknown[] = [];
    fixture.gate.onEnded = (...ended) => told.push(ended);
    fixture.gate.handleLeave(instance);
    fixture.runner.exit();
    await fixture.clock.advance(20_000);
    fixture.gate.stop();
    const known = `${instance}@${bornMs}`;
    const ended = `${instance}@${fixture.runner.bornMs}`;
    expect(told).to.eql([[ended, [known], true]]);
  });

  // Guards against a claim that waits for a lease since the row came too early.
  it("are told again once no start of an earlier process is under way", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    fixture.restartSidecar();
    const told: boolean[] = [];
    fixture.gate.onEnded = (_life, _before, isSettled) => told.push(isSettled);
    await fixture.clock.advance(200);
    fixture.gate.handleLeave(fixture.runner.instance);
    fixture.runner.exit();
    await fixture.clock.advance(1_000);
    expect(told).to.eql([false]);
    await fixture.clock.advance(9_000);
    expect(told).to.eql([false, true]);
    fixture.gate.stop();
  });

  it("are stored with it", async () => {
    const store = new StoreModel();
    const announcer = createAnnouncer(store, new VirtualClock());
    await announcer.announceEnd(life, [earlier]);
    expect((await readWorker(store)).endedLives).to.eql([life, earlier]);
  });

  const cases = [
    { claimed: "w@0", endedLives: [life, earlier], isReleased: true },
    { claimed: "w@1", endedLives: [life, earlier], isReleased: true },
    { claimed: "w@0", endedLives: [life], isReleased: false },
    { claimed: "w@2", endedLives: [life, earlier], isReleased: false },
    { claimed: "w@2", endedLives: [later], isReleased: true },
  ];
  for (const { claimed, endedLives, isReleased } of cases) {
    const verb = isReleased ? "release" : "keep";
    it(`${verb} a claim in ${claimed} if ${endedLives.join(", ")} ended`, () => {
      const fixture = new CellFixture();
      const claimedLife = claimed as RunnerLife;
      fixture.reportWorker("w", { life: claimedLife });
      fixture.submit("j", [CellFixture.step()]);
      fixture.advance();
      const running = fixture.runningOn("w");
      fixture.reportWorker("w", { life: claimedLife, running });
      const worker = fixture.cell.worker(node);
      worker.endedLives = endedLives;
      fixture.collect(releaseEndedLife(fixture.cell, worker, fixture.nowMs));
      expect(fixture.runsOn("w").length).to.equal(isReleased ? 0 : 1);
    });
  }
});
