import { expect } from "chai";
import { Logger } from "../src/adapters/logger.ts";
import { PrometheusMetrics } from "../src/adapters/prometheus_metrics.ts";
import { JobDirectory } from "../src/cellhost/job_directory.ts";
import type { KeeperLinks } from "../src/cellhost/keeper_links.ts";
import { KeeperSession } from "../src/cellhost/keeper_session.ts";
import { RowWriter } from "../src/cellhost/row_writer.ts";
import { encodeJob } from "../src/core/cell/encode_job.ts";
import type { SidecarReport } from "../src/core/cell/sidecar_report.ts";
import type { JobDefinition } from "../src/core/jobs/job_definition.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import type { KeeperMessage } from "../src/link/keeper_message.ts";
import { plainQueue } from "../stand_ins/plain_queue.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";
import { CellFixture } from "./cell_fixture.ts";
import { idleReport } from "./idle_report.ts";
import { LineLog } from "./line_log.ts";

const log = new Logger("silent", {});
const node = "w" as NodeId;
const workerReport = idleReport("w");

const listedRun = {
  task: "j.0.0.0" as TaskName,
  run: 1,
  checkpoint: "",
  percent: 10,
  figure: 0,
};

function jobOf(id: string, receivedMs: number): JobDefinition {
  return {
    id: id as JobId,
    queue: "q",
    payload: "",
    steps: [CellFixture.step()],
    schedule: undefined,
    receivedMs,
  };
}

/** A session with one worker that counts its cell's ticks. */
async function startSession(
  store = new StoreModel(),
  steps = [CellFixture.step()],
  sessionLog = log,
) {
  const metrics = new PrometheusMetrics();
  const clock = new VirtualClock();
  const sent: KeeperMessage[] = [];
  const links: KeeperLinks = {
    onEntryConnected: () => {},
    onMessage: () => {},
    onSidecarLost: () => {},
    set: () => {},
    send: (_node, message) => sent.push(message),
    sendToEntries: () => {},
    hasEntry: () => true,
    close: () => {},
  };
  const row = () => ({ key: "keeper", value: "{}" });
  const writer = new RowWriter(
    store,
    "cell",
    1,
    row,
    () => {},
    clock,
    log,
  );
  await writer.takeOver();
  const session = new KeeperSession({
    epoch: 1,
    writer,
    directory: new JobDirectory(log),
    bounds: { maxHoldMs: 6_000 },
    links,
    advisor: { requestTickets: () => Promise.resolve(new Map()) },
    clock,
    metrics,
    log: sessionLog,
  });
  const counts = { ticks: 0 };
  const { cell } = session;
  const tick = cell.tick.bind(cell);
  cell.tick = (nowMs, wallMs) => {
    counts.ticks += 1;
    return tick(nowMs, wallMs);
  };
  const report = (change: Partial<SidecarReport> = {}) =>
    links.onMessage({ node, send: () => {} }, {
      kind: "report",
      number: 1,
      report: { ...workerReport, ...change },
    });
  session.load([plainQueue()]);
  session.submit({ ...jobOf("j", clock.wallMs()), steps });
  report();
  await clock.advance(1);
  return { session, clock, counts, report, sent, links, metrics };
}

// Guards against claims of a worker that has left, which wait for a lease.
describe("the task of a worker whose sidecar has gone", () => {
  const other = "v" as NodeId;
  const cases = [
    { name: "at once if its life has ended", life: "w@1", isStarted: true },
    {
      name: "later if its life has ended without listing it",
      life: "w@1",
      isListed: false,
      isStarted: false,
    },
    { name: "later if another life has", life: "w@0", isStarted: false },
    { name: "later if nothing is known", life: undefined, isStarted: false },
  ];
  for (const { name, life, isListed = true, isStarted } of cases) {
    it(`runs elsewhere ${name}`, async () => {
      const { session, clock, links, report, sent } = await startSession();
      if (isListed) report({ running: [listedRun] });
      await clock.advance(100);
      links.onSidecarLost(node);
      links.onMessage({ node: other, send: () => {} }, {
        kind: "report",
        number: 1,
        report: idleReport("v"),
      });
      sent.length = 0;
      session.setPeer(node, {
        role: "sidecar",
        host: "",
        port: 1,
        incarnation: "1",
        strength: 1,
      });
      if (life !== undefined) session.recordEndedLife(node, life as RunnerLife);
      await clock.advance(200);
      const starts = sent.flatMap((message) =>
        message.kind === "orders" ? message.starts : []
      );
      expect(starts.length > 0).to.equal(isStarted);
      session.close();
    });
  }
});

// Guards against a lease that seems renewed while its runner does not answer.
describe("the task of a runner that does not answer", () => {
  const downMs = 5_000;
  const intervalMs = 450;
  // The bound of `startSession`, and what is added for a slow clock.
  const leaseMs = 6_500;

  it("waits for the lease that the runner got, and no longer", async () => {
    const { session, clock, links, report, sent } = await startSession();
    report({ running: [listedRun] });
    await clock.advance(100);
    for (let passedMs = 0; passedMs < downMs; passedMs += intervalMs) {
      report({ isUp: false });
      await clock.advance(intervalMs);
    }
    links.onSidecarLost(node);
    links.onMessage({ node: "v" as NodeId, send: () => {} }, {
      kind: "report",
      number: 1,
      report: idleReport("v"),
    });
    sent.length = 0;
    await clock.advance(leaseMs - downMs);
    const starts = sent.flatMap((message) =>
      message.kind === "orders" ? message.starts : []
    );
    expect(starts).to.have.length(1);
    session.close();
  });
});

// Guards against a claim that nobody can release: its worker never reports.
describe("the task of a job that is read after the takeover", () => {
  /** How long an earlier keeper may renew, and a next life keep, a lease. */
  const dueMs = 8_000 + (6_000 + 700 + 1_200) * 1.02 + 250;
  const intervalMs = 500;

  it("runs once the lease of a worker without a report has ended", async () => {
    const { session, clock, links, sent } = await startSession();
    const earlier = new CellFixture();
    earlier.reportWorker("gone");
    earlier.submit("late", [CellFixture.step()]);
    earlier.advance();
    const { definition } = earlier.cell.jobs.get("late" as JobId)!;
    const row = encodeJob(earlier.cell.jobs.get("late" as JobId)!);
    session.options.directory.rows.set(definition.id, row);
    session.submit(definition);
    for (
      let passedMs = 0;
      passedMs < dueMs + intervalMs;
      passedMs += intervalMs
    ) {
      links.onMessage({ node, send: () => {} }, {
        kind: "report",
        number: 1,
        report: workerReport,
      });
      await clock.advance(intervalMs);
    }
    const names = sent.flatMap((message) =>
      message.kind === "orders" ? message.starts.map(({ task }) => task) : []
    );
    expect(names).to.include("late.0.0.0");
    session.close();
  });
});

// Guards against a move that leaves a task without a run until the store is back.
describe("a run on a draining worker", () => {
  const running = listedRun;
  for (const isDown of [false, true]) {
    const name = isDown ? "stays while the store is down" : "moves";
    it(name, async () => {
      const store = new StoreModel();
      const { session, clock, links, report, sent } = await startSession(
        store,
        [CellFixture.step({ isService: true })],
      );
      report({ running: [running] });
      links.onMessage({ node: "v" as NodeId, send: () => {} }, {
        kind: "report",
        number: 1,
        report: idleReport("v"),
      });
      await clock.advance(100);
      const countStops = () =>
        sent.filter((message) =>
          message.kind === "orders" && message.stops.length > 0
        ).length;
      store.isDown = isDown;
      await clock.advance(1_500);
      report({ running: [running], isDraining: true });
      await clock.advance(100);
      expect(countStops()).to.equal(isDown ? 0 : 1);
      store.isDown = false;
      await clock.advance(1_000);
      expect(countStops()).to.equal(1);
      session.close();
    });
  }
});

// Guards against a task that waits without any line that says why.
describe("a task of a service that waits", () => {
  const running = {
    task: "j.0.0.0" as TaskName,
    run: 1,
    checkpoint: "",
    percent: 0,
    figure: 0,
  };
  const end = { ...running, number: 1, outcome: "stopped" } as const;

  it("is logged after 2 s, again each 5 s, and as running", async () => {
    const lines = new LineLog();
    const steps = [CellFixture.step({ isService: true })];
    const { session, clock, report, metrics } = await startSession(
      undefined,
      steps,
      lines,
    );
    report({ running: [running] });
    await clock.advance(1_000);
    report({ ends: [end], isDraining: true });
    await clock.advance(1_900);
    expect(lines.of("task_waits")).to.eql([]);
    await clock.advance(700);
    expect(lines.of("task_waits").length).to.equal(1);
    expect(lines.of("task_waits").join()).to.match(
      /task=j.0.0.0 run=1 last_outcome=stopped last_worker=w .*waited_ms=2\d\d\d reason=no_worker .*draining=1/,
    );
    await clock.advance(4_000);
    expect(lines.of("task_waits").length).to.equal(1);
    await clock.advance(1_500);
    expect(lines.of("task_waits").length).to.equal(2);
    expect(await metrics.text()).to.include(
      'gypsumpond_tasks_waiting{reason="no_worker"} 1',
    );
    expect(lines.of("task_runs_again")).to.eql([]);
    report();
    await clock.advance(100);
    report({ running: [{ ...running, run: 2 }] });
    await clock.advance(600);
    expect(lines.of("task_runs_again").join()).to.match(
      /task=j.0.0.0 run=2 worker=w waited_ms=8\d\d\d reason=/,
    );
    expect(await metrics.text()).to.include(
      "gypsumpond_service_restart_seconds_count 1",
    );
    session.close();
  });

  it("is counted no more once the term has ended", async () => {
    const steps = [CellFixture.step({ isService: true, label: "none" })];
    const { session, clock, metrics } = await startSession(undefined, steps);
    const waiting = 'gypsumpond_tasks_waiting{reason="no_worker"}';
    await clock.advance(3_000);
    expect(await metrics.text()).to.include(`${waiting} 1`);
    session.close();
    await clock.advance(3_000);
    expect(await metrics.text()).to.include(`${waiting} 0`);
  });

  it("is logged again when the reason changes, with its worker", async () => {
    const lines = new LineLog();
    const steps = [CellFixture.step({ isService: true })];
    const { session, clock, links } = await startSession(
      undefined,
      steps,
      lines,
    );
    await clock.advance(2_700);
    links.onSidecarLost(node);
    await clock.advance(600);
    const reasons = lines.of("task_waits").map((line) =>
      /reason=\S+ worker=\S+/.exec(line)?.[0]
    );
    expect(reasons).to.eql([
      "reason=start_unconfirmed worker=w",
      "reason=sidecar_unconnected worker=w",
    ]);
    expect(lines.of("task_waits").join()).to.match(/lease_left_ms=\d+/);
    session.close();
  });
});

// Guards against a start whose claim is not stored, and against one job that
// holds up all others.
describe("a job whose progress the store rejects", () => {
  it("starts nothing, and holds up no other job", async () => {
    const store = new StoreModel();
    store.rejectedKeys.add("job j");
    const { session, clock, sent } = await startSession(store);
    await clock.advance(200);
    session.submit(jobOf("other", clock.wallMs()));
    await clock.advance(200);
    const starts = sent.flatMap((message) =>
      message.kind === "orders" ? message.starts.map(({ task }) => task) : []
    );
    expect(starts).to.eql(["other.0.0.0"]);
    expect(session.cell.unreadable.stepOf("j.0.0.0" as TaskName)).to.not.equal(
      undefined,
    );
    expect([...session.cell.worker(node).claims.keys()]).to.eql([
      "other.0.0.0",
    ]);
    session.close();
  });
});

describe("a keeper's cell decides", () => {
  const running = {
    task: "j.0.0.0" as TaskName,
    run: 1,
    checkpoint: "",
    percent: 10,
    figure: 0,
  };
  const end = {
    number: 1,
    task: running.task,
    run: 1,
    outcome: "done",
    checkpoint: "",
  } as const;
  const cases: [string, Partial<SidecarReport>, number][] = [
    // With hundreds of workers, a tick for each report took most of the time.
    ["not at once after an unchanged report", { running: [running] }, 0],
    // A tick that came only with the next interval would delay the next step.
    ["at once after the end of a run", { ends: [end] }, 1],
    ["at once after a stray run", {
      running: [running, { ...running, task: "x.0.0.0" as TaskName }],
    }, 1],
  ];
  for (const [name, change, ticks] of cases) {
    it(name, async () => {
      const { session, clock, counts, report } = await startSession();
      report({ running: [running] });
      await clock.advance(1);
      counts.ticks = 0;
      report(change);
      await clock.advance(1);
      expect(counts.ticks).to.equal(ticks);
      session.close();
    });
  }

  it("at regular intervals without any report", async () => {
    const { session, clock, counts } = await startSession();
    counts.ticks = 0;
    await clock.advance(500);
    expect(counts.ticks).to.be.within(9, 11);
    session.close();
  });
});
