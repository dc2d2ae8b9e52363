import type { Logger } from "../../src/adapters/logger.ts";
import type { PrometheusMetrics } from "../../src/adapters/prometheus_metrics.ts";
import { EvacuationRequests } from "../../src/cellhost/evacuation_requests.ts";
import { JobDirectory } from "../../src/cellhost/job_directory.ts";
import { KeeperSession } from "../../src/cellhost/keeper_session.ts";
import type { Predecessor } from "../../src/cellhost/predecessor.ts";
import { RowWriter } from "../../src/cellhost/row_writer.ts";
import { StreamTail } from "../../src/cellhost/stream_tail.ts";
import { streams } from "../../src/cellhost/streams.ts";
import { createPeersTail } from "../../src/nodes/create_peers_tail.ts";
import type { NodeId } from "../../src/core/jobs/node_id.ts";
import type { TaskName } from "../../src/core/jobs/task_name.ts";
import type { Queue } from "../../src/core/jobs/queue.ts";
import type { HistoryLinks } from "./history_links.ts";
import type { ProcessClock } from "./process_clock.ts";
import type { ProcessStore } from "./process_store.ts";

const readIntervalMs = 30;
const retryMs = 50;
const idleAppendMs = 400;

/** What a keeper of a history works with. */
interface HistoryKeeperOptions {
  readonly epoch: number;
  readonly predecessor: Predecessor | undefined;
  readonly clock: ProcessClock;
  readonly store: ProcessStore;
  readonly links: HistoryLinks;
  readonly maxHoldMs: number;
  readonly evacuateMs: number | undefined;
  readonly queue: Queue;
  readonly workers: readonly NodeId[];
  /** Whether it follows the stream of members. */
  readonly isLasting: boolean;
  /** Whether it appends when idle, so that it may renew leases. */
  readonly appendsWhenIdle: boolean;
  readonly metrics: PrometheusMetrics;
  readonly log: Logger;
}

/** The process of an entry that has been elected keeper. */
export class HistoryKeeper {
  readonly directory: JobDirectory;
  #session: KeeperSession | undefined;
  readonly #writer: RowWriter;
  readonly #evacuations: EvacuationRequests | undefined;

  constructor(readonly options: HistoryKeeperOptions) {
    const { clock, epoch, log, store } = options;
    this.directory = new JobDirectory(log);
    this.directory.onSubmitted = (job) => this.#session?.submit(job);
    this.directory.onCancelled = (id) => this.#session?.cancel(id);
    this.#writer = new RowWriter(
      store,
      streams.cell,
      epoch,
      () => ({ key: "keeper", value: "{}" }),
      () => this.#session?.close(),
      clock,
      log,
    );
    if (options.evacuateMs !== undefined) {
      this.#evacuations = this.#followOperator(options.evacuateMs);
    }
    void this.#run();
  }

  /** Whether it decides, or will once it has read the store. */
  get isActive(): boolean {
    return !this.options.clock.isDead && !this.#writer.isDeposed;
  }

  /** Ends the process. */
  kill(): void {
    this.options.clock.kill();
    this.#session?.close();
  }

  #followOperator(evacuateMs: number): EvacuationRequests {
    const { clock, log, store } = this.options;
    const requests = new EvacuationRequests(evacuateMs, log);
    const tail = new StreamTail(
      store,
      streams.operator,
      { waitMs: requests.waitMs, pauseMs: 0 },
      (rows) => requests.apply(rows),
      log,
      clock,
    );
    requests.onChange = () => this.#session?.setEvacuations(requests.zones);
    requests.follow(tail);
    void tail.run();
    return requests;
  }

  async #run(): Promise<void> {
    const { clock, links, queue, store, workers } = this.options;
    if (await this.#writer.takeOver() === undefined) return;
    while (true) {
      const rows = await store.readNewest(streams.cell);
      if (rows.isErr) {
        await clock.sleep(retryMs);
        continue;
      }
      this.directory.applyProgressRows(rows.value.rows);
      break;
    }
    let next = await this.#readJobs(0);
    const session = new KeeperSession({
      ...this.options,
      writer: this.#writer,
      directory: this.directory,
      bounds: this.options,
      links,
      operatorRead: () => this.#evacuations?.read,
      advisor: { requestTickets: () => Promise.resolve(new Map()) },
    });
    session.load([queue]);
    if (this.#evacuations) session.setEvacuations(this.#evacuations.zones);
    this.#session = session;
    if (this.#writer.isDeposed) session.close();
    else this.#writer.write([], () => {});
    for (const [port, node] of workers.entries()) {
      const role = "sidecar";
      const address = { host: "", port, incarnation: "", strength: 1 };
      session.setPeer(node, { role, ...address });
    }
    const members = this.options.isLasting
      ? this.#followMembers(session)
      : undefined;
    if (this.options.appendsWhenIdle) void this.#appendWhenIdle(session);
    while (session.isOpen) {
      await clock.sleep(readIntervalMs);
      next = await this.#readJobs(next);
    }
    members?.stop();
  }

  /** What it knows of a task's run, for the trace of a history. */
  describe(name: TaskName): string {
    const task = this.#session?.cell.task(name);
    if (task === undefined) return "unknown";
    const { claim, run } = task;
    if (claim === undefined) return `run ${run}, no claim`;
    const { node, life, phase, isOrdered } = claim;
    return `run ${run}, ${phase} on ${node} ${life}, ordered: ${isOrdered}`;
  }

  #followMembers(session: KeeperSession): StreamTail {
    const { clock, log, store } = this.options;
    const tail = createPeersTail(session, "" as NodeId, store, log, clock);
    void tail.run();
    return tail;
  }

  /** The writer's own timer goes by real time, which does not pass here. */
  async #appendWhenIdle(session: KeeperSession): Promise<void> {
    const { clock } = this.options;
    while (session.isOpen) {
      await clock.sleep(idleAppendMs);
      this.#writer.write([this.#writer.heartbeatRow()], () => {});
    }
  }

  /** Reads the jobs from an offset; returns the next one. */
  async #readJobs(from: number): Promise<number> {
    while (true) {
      const page = await this.options.store.read(streams.jobs, from);
      if (page.isOk) {
        this.directory.applyJobRows(page.value.rows);
        return page.value.next;
      }
      await this.options.clock.sleep(retryMs);
    }
  }
}
