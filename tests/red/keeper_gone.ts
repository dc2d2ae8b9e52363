import { expect } from "chai";
import type { NodeId } from "../../src/core/jobs/node_id.ts";
import { VirtualClock } from "../../stand_ins/clock/virtual_clock.ts";
import { StoreModel } from "../../stand_ins/store/store_model.ts";
import { KeeperTerm } from "../keeper_term.ts";

const lostWorker = "w" as NodeId;
const otherWorker = "v" as NodeId;
/** By the users' rule, from the end of a run to the next one. */
const maxWaitMs = 9_000;

// Guards against a task that waits for 14 s after its worker and its keeper were
// lost for good, since the keeper might only be cut off.
describe("a keeper whose predecessor's machine never comes back", () => {
  it("starts a lost worker's run elsewhere in time", async () => {
    const [store, clock] = [new StoreModel(), new VirtualClock()];
    const node = "k" as NodeId;
    const before = { node, incarnation: "i" };
    const none = { epoch: 0, endedAtMs: 0, ...before };
    const first = await KeeperTerm.begin(store, clock, 1, none);
    first.report(lostWorker);
    await first.awaitStart(1_000);
    first.report(lostWorker, true);
    first.session.close();
    const gone = { epoch: 1, endedAtMs: undefined, ...before };
    const second = await KeeperTerm.begin(store, clock, 2, gone);
    const waitedMs = await second.awaitStart(20_000, otherWorker);
    second.session.close();
    expect(waitedMs).to.be.below(maxWaitMs);
  });
});
