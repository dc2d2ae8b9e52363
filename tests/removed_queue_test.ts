import { expect } from "chai";
import { Logger } from "../src/adapters/logger.ts";
import { PrometheusMetrics } from "../src/adapters/prometheus_metrics.ts";
import { JobDirectory } from "../src/cellhost/job_directory.ts";
import type { KeeperLinks } from "../src/cellhost/keeper_links.ts";
import { KeeperSession } from "../src/cellhost/keeper_session.ts";
import { RowWriter } from "../src/cellhost/row_writer.ts";
import type { SidecarReport } from "../src/core/cell/sidecar_report.ts";
import type { JobDefinition } from "../src/core/jobs/job_definition.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { Queue } from "../src/core/jobs/queue.ts";
import type { RunOutcome } from "../src/core/jobs/run_outcome.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import { plainQueue } from "../stand_ins/plain_queue.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";
import { CellFixture } from "./cell_fixture.ts";
import { idleReport } from "./idle_report.ts";

const log = new Logger("silent", {});
const { step } = CellFixture;
const node = "w" as NodeId;

function queueOf(name: string, change: Partial<Queue> = {}): Queue {
  return plainQueue({ name, maxAttempts: 2, ...change });
}

const job: JobDefinition = {
  id: "j" as JobId,
  queue: "q",
  payload: "",
  steps: [step(), step({ after: [0] })],
  schedule: undefined,
  receivedMs: 1_000,
};

/** Keepers in turn on one store, with one worker. */
class Keepers {
  readonly store = new StoreModel();
  readonly clock = new VirtualClock();
  readonly starts: string[] = [];
  #epoch = 0;
  #ends = 0;
  #links: KeeperLinks | undefined;
  #session: KeeperSession | undefined;

  /** Begins a term; without queues no configuration has been read yet. */
  async begin(queues: readonly Queue[] | undefined): Promise<KeeperSession> {
    this.#session?.close();
    this.#epoch += 1;
    const directory = new JobDirectory(log);
    const page = await this.store.readNewest("cell");
    if (page.isOk) directory.applyProgressRows(page.value.rows);
    directory.submit(job);
    const links: KeeperLinks = {
      onEntryConnected: () => {},
      onMessage: () => {},
      onSidecarLost: () => {},
      set: () => {},
      send: (_node, message) => {
        if (message.kind !== "orders") return;
        const starts = message.starts.map(({ task, run }) => `${task}#${run}`);
        this.starts.push(...starts);
      },
      sendToEntries: () => {},
      hasEntry: () => true,
      close: () => {},
    };
    const heartbeat = () => ({ key: "keeper", value: "{}" });
    const writer = new RowWriter(
      this.store,
      "cell",
      this.#epoch,
      heartbeat,
      () => {},
      this.clock,
      log,
    );
    await writer.takeOver();
    this.#links = links;
    this.#session = new KeeperSession({
      epoch: this.#epoch,
      writer,
      directory,
      bounds: { maxHoldMs: 6_000 },
      links,
      advisor: { requestTickets: () => Promise.resolve(new Map()) },
      clock: this.clock,
      metrics: new PrometheusMetrics(),
      log,
    });
    this.#session.load(queues);
    return this.#session;
  }

  async report(change: Partial<SidecarReport> = {}): Promise<void> {
    this.#links!.onMessage({ node, send: () => {} }, {
      kind: "report",
      number: 1,
      report: { ...idleReport("w"), ...change },
    });
    await this.clock.advance(200);
  }

  async end(task: string, run: number, outcome: RunOutcome): Promise<void> {
    this.#ends += 1;
    const end = {
      number: this.#ends,
      task: task as TaskName,
      run,
      outcome,
      checkpoint: "",
    };
    await this.report({ ends: [end] });
  }
}

// Guards against jobs lost with the keeper that alone knew their queue.
describe("a job whose queue was removed from the configuration", () => {
  const cases: {
    name: string;
    next: readonly Queue[];
    starts: string[];
  }[] = [
    {
      name: "goes on under the next keeper",
      next: [queueOf("other")],
      starts: ["j.0.1.0#1"],
    },
    {
      name: "goes on if the queue has come back",
      next: [queueOf("q")],
      starts: ["j.0.1.0#1"],
    },
    {
      name: "follows the queue to another service",
      next: [queueOf("q", { pool: "elsewhere" })],
      starts: [],
    },
  ];
  for (const { name, next, starts } of cases) {
    it(name, async () => {
      const keepers = new Keepers();
      const first = await keepers.begin([queueOf("q")]);
      await keepers.report();
      expect(keepers.starts).to.eql(["j.0.0.0#1"]);
      first.setQueues([queueOf("other")]);
      await keepers.clock.advance(100);
      keepers.starts.length = 0;
      // A second change of keeper must not lose what the first one kept.
      await keepers.begin([queueOf("other")]);
      await keepers.clock.advance(100);
      await keepers.begin(next);
      await keepers.end("j.0.0.0", 1, "done");
      await keepers.clock.advance(2_500);
      expect(keepers.starts).to.eql(starts);
    });
  }
});

describe("a keeper that has not read the configuration", () => {
  // Guards against a task started again after its last attempt has failed.
  it("knows the attempts of a stored queue", async () => {
    const keepers = new Keepers();
    await keepers.begin([queueOf("q")]);
    await keepers.report();
    await keepers.end("j.0.0.0", 1, "failed");
    await keepers.clock.advance(500);
    expect(keepers.starts).to.eql(["j.0.0.0#1", "j.0.0.0#2"]);
    const next = await keepers.begin(undefined);
    await keepers.end("j.0.0.0", 2, "failed");
    next.setQueues([queueOf("q")]);
    await keepers.clock.advance(3_000);
    expect(next.cell.jobs.get(job.id)?.state).to.equal("failed");
    expect(keepers.starts).to.have.length(2);
  });

  it("starts nothing by a stored queue, which may have changed", async () => {
    const keepers = new Keepers();
    await keepers.begin([queueOf("q")]);
    await keepers.clock.advance(200);
    const next = await keepers.begin(undefined);
    await keepers.report();
    await keepers.clock.advance(2_000);
    expect(keepers.starts).to.eql([]);
    next.setQueues([queueOf("q")]);
    await keepers.clock.advance(100);
    expect(keepers.starts).to.eql(["j.0.0.0#1"]);
  });

  it("keeps only so many removed queues without jobs", async () => {
    const keepers = new Keepers();
    const session = await keepers.begin([queueOf("q")]);
    for (let index = 0; index < 500; index++) {
      session.setQueues([queueOf(`r${index}`)]);
    }
    await keepers.clock.advance(200);
    const row = JSON.parse(keepers.store.newestValue("cell", "queues")!);
    const names = row.queues.map(({ name }: Queue) => name);
    expect(names).to.have.length(66);
    expect(names).to.include.members(["q", "r499", "r436"]);
  });
});
