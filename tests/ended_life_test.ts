import { expect } from "chai";
import { Logger } from "../src/adapters/logger.ts";
import { PrometheusMetrics } from "../src/adapters/prometheus_metrics.ts";
import { JobDirectory } from "../src/cellhost/job_directory.ts";
import type { KeeperLinks } from "../src/cellhost/keeper_links.ts";
import { KeeperSession } from "../src/cellhost/keeper_session.ts";
import { RowWriter } from "../src/cellhost/row_writer.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import { createPeersTail } from "../src/nodes/create_peers_tail.ts";
import { PeerAnnouncer } from "../src/nodes/peer_announcer.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
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
  return session.cell.worker(node).endedLife;
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
