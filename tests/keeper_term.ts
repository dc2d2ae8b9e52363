import { Logger } from "../src/adapters/logger.ts";
import { PrometheusMetrics } from "../src/adapters/prometheus_metrics.ts";
import { JobDirectory } from "../src/cellhost/job_directory.ts";
import type { KeeperLink } from "../src/cellhost/keeper_link.ts";
import type { KeeperLinks } from "../src/cellhost/keeper_links.ts";
import { KeeperSession } from "../src/cellhost/keeper_session.ts";
import type { Predecessor } from "../src/cellhost/predecessor.ts";
import { RowWriter } from "../src/cellhost/row_writer.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { KeeperMessage } from "../src/link/keeper_message.ts";
import type { PeerMessage } from "../src/link/peer_message.ts";
import { plainQueue } from "../stand_ins/plain_queue.ts";
import type { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import type { StoreModel } from "../stand_ins/store/store_model.ts";
import { CellFixture } from "./cell_fixture.ts";
import { idleReport } from "./idle_report.ts";

const log = new Logger("silent", {});
const maxHoldMs = 6_000;
const stepMs = 50;
const job = {
  id: "j" as JobId,
  queue: "q",
  payload: "",
  steps: [CellFixture.step({ isService: true })],
  schedule: undefined,
  receivedMs: 0,
};

/**
 * A keeper's term on a store and a clock that outlast it, with one task of a
 * service, `j.0.0.0`.
 */
export class KeeperTerm {
  static readonly maxHoldMs = maxHoldMs;
  static readonly stepMs = stepMs;
  readonly session: KeeperSession;
  readonly sent: { node: NodeId; message: KeeperMessage }[] = [];
  readonly #links: KeeperLinks;

  constructor(
    readonly store: StoreModel,
    readonly clock: VirtualClock,
    readonly epoch: number,
    readonly predecessor: Predecessor | undefined,
    readonly writer: RowWriter,
    directory: JobDirectory,
  ) {
    this.#links = {
      onEntryConnected: () => {},
      onMessage: () => {},
      onSidecarLost: () => {},
      set: () => {},
      send: (node, message) => this.sent.push({ node, message }),
      sendToEntries: () => {},
      hasEntry: () => true,
      close: () => {},
    };
    this.session = new KeeperSession({
      epoch,
      predecessor,
      writer,
      directory,
      bounds: { maxHoldMs },
      links: this.#links,
      advisor: { requestTickets: () => Promise.resolve(new Map()) },
      clock,
      metrics: new PrometheusMetrics(),
      log,
    });
    this.session.load([plainQueue()]);
  }

  static async begin(
    store: StoreModel,
    clock: VirtualClock,
    epoch: number,
    predecessor: Predecessor | undefined,
  ): Promise<KeeperTerm> {
    const heartbeat = () => ({ key: "keeper", value: "{}" });
    const writer = new RowWriter(
      store,
      "cell",
      epoch,
      heartbeat,
      () => {},
      clock,
      log,
    );
    await writer.takeOver();
    const directory = new JobDirectory(log);
    directory.submit(job);
    const rows = (await store.readNewest("cell")).unwrapOr(undefined as never);
    directory.applyProgressRows(rows.rows);
    return new KeeperTerm(store, clock, epoch, predecessor, writer, directory);
  }

  receive(node: NodeId, message: PeerMessage): void {
    this.#links.onMessage(this.#linkTo(node), message);
  }

  report(node: NodeId, isWithRun = false): void {
    const running = isWithRun
      ? [{
        task: "j.0.0.0",
        run: 1,
        checkpoint: "",
        percent: 50,
        figure: 0,
      }] as never
      : [];
    const report = { ...idleReport(node), running };
    this.receive(node, { kind: "report", number: 1, report });
  }

  /** Lets time pass in which a worker reports, if any, until a run starts. */
  async awaitStart(withinMs: number, node?: NodeId): Promise<number> {
    const beganAtMs = this.clock.nowMs();
    while (this.clock.nowMs() - beganAtMs < withinMs) {
      if (node !== undefined) this.report(node);
      if (this.starts().length > 0) break;
      await this.#pass(stepMs);
    }
    return this.clock.nowMs() - beganAtMs;
  }

  /** Lets time pass; the store is written to all the while. */
  async #pass(ms: number): Promise<void> {
    this.writer.write([this.writer.heartbeatRow()], () => {});
    await this.clock.advance(ms);
  }

  starts(): NodeId[] {
    return this.sent.flatMap(({ node, message }) =>
      message.kind === "orders" && message.starts.length > 0 ? [node] : []
    );
  }

  renewals(): NodeId[] {
    return this.sent.flatMap(({ node, message }) =>
      message.kind === "renew" ? [node] : []
    );
  }

  #linkTo(node: NodeId): KeeperLink {
    return { node, send: (message) => this.sent.push({ node, message }) };
  }
}
