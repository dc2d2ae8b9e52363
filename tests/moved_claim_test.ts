import { expect } from "chai";
import { maxPermitMs } from "../src/core/clock/max_permit_ms.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";
import { idleReport } from "./idle_report.ts";
import { KeeperTerm } from "./keeper_term.ts";

const { maxHoldMs } = KeeperTerm;
/** The longest lease by a clock that is 2 % slow. */
const slowLeaseMs = maxHoldMs / 0.98;
const lostWorker = "w" as NodeId;
const otherWorker = "v" as NodeId;
const noneBefore = {
  epoch: 0,
  node: "k" as NodeId,
  incarnation: "i",
  endedAtMs: 0,
};

// Guards against a lease that is counted from a renewal before the life that
// holds it began: its run was listed, but that report was not renewed, since the
// store listed the worker as lost (histories, seeds 814 and 898).
describe("a run that a next life has listed starts elsewhere", () => {
  for (const silentMs of [0, 500, 1_200, 2_000, 4_000]) {
    it(`only after its lease, heard of after ${silentMs} ms`, async () => {
      const [store, clock] = [new StoreModel(), new VirtualClock()];
      const term = await KeeperTerm.begin(store, clock, 1, noneBefore);
      term.report(lostWorker);
      const renewedAtMs = clock.nowMs();
      await term.awaitStart(1_000);
      const { cell } = term.session;
      cell.handleDisconnect(lostWorker);
      term.sent.splice(0);
      await term.awaitStart(silentMs);
      const running = [{
        task: "j.0.0.0",
        run: 1,
        checkpoint: "",
        percent: 50,
        figure: 0,
      }] as never;
      const life = `${lostWorker}@2` as RunnerLife;
      const report = { ...idleReport(lostWorker, { life }), running };
      term.receive(lostWorker, { kind: "report", number: 2, report });
      const isRenewed = term.renewals().length > 0;
      const leaseFromMs = isRenewed ? clock.nowMs() : renewedAtMs + maxPermitMs;
      cell.handleDisconnect(lostWorker);
      term.sent.splice(0);
      await term.awaitStart(20_000, otherWorker);
      expect(term.starts()).to.eql([otherWorker]);
      expect(clock.nowMs() - leaseFromMs).to.be.at.least(slowLeaseMs);
      term.session.close();
    });
  }
});
