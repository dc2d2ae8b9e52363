import { expect } from "chai";
import { Logger } from "../src/adapters/logger.ts";
import { PrometheusMetrics } from "../src/adapters/prometheus_metrics.ts";
import type { DeferredEffect } from "../src/cellhost/deferred_effect.ts";
import { RowWriter } from "../src/cellhost/row_writer.ts";
import { EvacuationControl } from "../src/cellhost/evacuation_control.ts";
import type { OperatorRead } from "../src/core/evacuate/operator_read.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import type { KeeperMessage } from "../src/link/keeper_message.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";
import { CellFixture } from "./cell_fixture.ts";

const node = "w" as NodeId;
const show: DeferredEffect = {
  kind: "show",
  job: "j" as JobId,
  state: "running",
};

function start(task: string): DeferredEffect {
  const { resources } = CellFixture.step();
  return {
    kind: "start",
    node,
    command: {
      kind: "start",
      task: task as TaskName,
      run: 1,
      life: "w@1" as RunnerLife,
      payload: "p",
      checkpoint: "",
      ticket: undefined,
      resources,
      isService: false,
      isFiller: false,
      image: undefined,
      targetLatencyMs: 0,
    },
  };
}

function createControl() {
  const fixture = new CellFixture();
  const clock = new VirtualClock();
  const sent: KeeperMessage[] = [];
  const store = new StoreModel();
  const log = new Logger("silent", {});
  let read: OperatorRead | undefined;
  const control = new EvacuationControl(fixture.cell, {
    clock,
    links: {
      onEntryConnected: () => {},
      onMessage: () => {},
      onSidecarLost: () => {},
      set: () => {},
      send: (_node, message) => void sent.push(message),
      sendToEntries: () => {},
      hasEntry: () => false,
      close: () => {},
    },
    operatorRead: () => read,
    writer: new RowWriter(
      store,
      "cell",
      1,
      () => ({ key: "keeper", value: "" }),
      () => {},
      clock,
      log,
    ),
    metrics: new PrometheusMetrics(),
    log,
  }, 5_000);
  const readNow = () => {
    read = { sentAtMs: clock.nowMs(), sentAtWallMs: clock.wallMs() };
  };
  return { fixture, clock, control, sent, store, readNow };
}

describe("a keeper that has not read the operator's stream recently", () => {
  it("holds new and repeated starts, each once, and nothing else", async () => {
    const { clock, control, readNow } = createControl();
    const [first, second] = [start("j.0.0.0"), start("j.0.0.1")];
    expect(control.release([first, show])).to.eql([show]);
    readNow();
    expect(control.hasDueStarts).to.equal(true);
    expect(control.release([second])).to.eql([first, second]);
    expect(control.hasDueStarts).to.equal(false);
    await clock.advance(4_000);
    expect(control.release([first])).to.eql([]);
    expect(control.release([second, first])).to.eql([]);
    expect(control.hasDueStarts).to.equal(false);
    readNow();
    expect(control.release([show])).to.eql([first, second, show]);
    expect(control.release([])).to.eql([]);
  });

  // The sidecar may have the flag of a keeper that has read more.
  it("tells of evacuations, but revokes none", async () => {
    const { clock, control, fixture, readNow, sent } = createControl();
    const evacuate = (...zones: string[]) => {
      fixture.collect(fixture.cell.setEvacuations(new Set(zones), 0));
      control.tellSidecars();
    };
    const toldNow = () =>
      sent.splice(0).flatMap((message) =>
        message.kind === "evacuated" ? [message.isEvacuated] : []
      );
    fixture.reportWorker(node);
    control.recordReport(node);
    expect(toldNow()).to.eql([]);
    evacuate("z");
    expect(toldNow()).to.eql([true]);
    evacuate();
    expect(toldNow()).to.eql([]);
    readNow();
    control.tellSidecars();
    expect(toldNow()).to.eql([false]);
    control.recordReport(node);
    expect(toldNow()).to.eql([]);
    // Another process may be at the other end of a new connection.
    control.forget(node);
    control.tellSidecars();
    expect(toldNow()).to.eql([]);
    expect(control.recordReport(node)).to.eql({ operatorAgeMs: 0 });
    expect(toldNow()).to.eql([false]);
    await clock.advance(1_000);
    expect(control.recordReport(node)).to.eql({ operatorAgeMs: 1_000 });
  });
});

describe("a keeper records evacuations", () => {
  it("in a row, when something has changed", async () => {
    const { clock, control, fixture, store } = createControl();
    const apply = (zones: Readonly<Record<string, number>>) =>
      fixture.collect(control.progress.apply(new Map(Object.entries(zones))));
    const rowNow = async () => {
      control.update();
      await clock.advance(0);
      const value = store.newestValue("cell", "evacuation");
      return value === undefined ? undefined : JSON.parse(value).zones;
    };
    expect(await rowNow()).to.eql([]);
    fixture.reportWorker(node);
    fixture.submit("j", [CellFixture.step()]);
    fixture.advance();
    fixture.reportWorker(node, { running: fixture.runningOn(node) });
    apply({ z: 5, unknown: 6 });
    const unknown = { zone: "unknown", sinceMs: 6, isCleared: true };
    expect(await rowNow()).to.eql([
      { zone: "z", sinceMs: 5, isCleared: false },
      unknown,
    ]);
    const { appendCount } = store;
    await rowNow();
    expect(store.appendCount).to.equal(appendCount);
    fixture.endRun(node, "j.0.0.0", 1, "done");
    expect(await rowNow()).to.eql([
      { zone: "z", sinceMs: 5, isCleared: true },
      unknown,
    ]);
    apply({});
    expect(await rowNow()).to.eql([]);
  });
});
