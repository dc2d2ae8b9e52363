import { setTimeout as sleep } from "node:timers/promises";
import { systemClock } from "../adapters/system_clock.ts";
import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import type { Logger } from "../adapters/logger.ts";
import type { Advisor } from "../cellhost/advisor.ts";
import { EvacuationRequests } from "../cellhost/evacuation_requests.ts";
import { Election } from "../cellhost/election.ts";
import { JobDirectory } from "../cellhost/job_directory.ts";
import { KeeperSession } from "../cellhost/keeper_session.ts";
import { PeerLinks } from "../cellhost/peer_links.ts";
import { RowWriter } from "../cellhost/row_writer.ts";
import { StreamTail } from "../cellhost/stream_tail.ts";
import { streams } from "../cellhost/streams.ts";
import { submissionStreams } from "../cellhost/submission_streams.ts";
import type { Queue } from "../core/jobs/queue.ts";
import type { KeeperView } from "../cellhost/keeper_view.ts";
import { campaignReason } from "../cellhost/campaign_reason.ts";
import type { Store } from "../core/store/store.ts";
import type { Channel } from "../link/channel.ts";
import type { KeeperMessage } from "../link/keeper_message.ts";
import type { PeerMessage } from "../link/peer_message.ts";
import { PeerAnnouncer } from "./peer_announcer.ts";
import { createCellTail } from "./create_cell_tail.ts";
import { EntryLoad } from "./entry_load.ts";
import { createPeersTail } from "./create_peers_tail.ts";
import { KeeperContact } from "./keeper_contact.ts";
import { PeerServer } from "./peer_server.ts";
import type { NodeOptions } from "./node_options.ts";
import { SubmissionTails } from "./submission_tails.ts";

const watchIntervalMs = 50;
/** Candidates wait a random time up to this, so that mostly one campaigns. */
const maxCampaignDelayMs = 150;
/** The added delay at strength 0, so that stronger entries campaign first. */
const maxStrengthDelayMs = 600;
/** The least strength of an entry that counts as strong. */
const minStrong = 0.9;
/** How long a weak keeper stays before it resigns to a strong entry. */
const weakSessionMs = 3_000;

/** An entry: knows the jobs and their states, and may be elected keeper. */
export class EntryNode {
  readonly directory: JobDirectory;
  readonly jobTails: SubmissionTails;
  readonly load: EntryLoad;
  /** Undefined if the deployment evacuates no data centres. */
  readonly evacuations: EvacuationRequests | undefined;
  readonly #election: Election;
  #cellTail: StreamTail;
  #peersTail: StreamTail | undefined;
  #session: KeeperSession | undefined;
  readonly server: PeerServer;
  #announcer: PeerAnnouncer | undefined;
  /** Undefined until a configuration has been read. */
  #queues: readonly Queue[] | undefined;
  readonly #contact = new KeeperContact();
  #isClosed = false;
  #hasResigned = false;
  #isTakingOver = false;

  constructor(
    readonly options: NodeOptions,
    readonly store: Store,
    readonly advisor: Advisor,
    readonly metrics: PrometheusMetrics,
    readonly log: Logger,
  ) {
    const { node, incarnation, bounds: { evacuateMs } } = options;
    if (evacuateMs !== undefined) {
      const requests = new EvacuationRequests(evacuateMs, log);
      requests.onChange = () => this.#session?.setEvacuations(requests.zones);
      this.evacuations = requests;
    }
    this.directory = new JobDirectory(log);
    this.load = new EntryLoad(options.hardLoad, metrics);
    this.directory.onSubmitted = (job) => {
      this.load.admission?.noteStored(job);
      this.#session?.submit(job);
    };
    this.directory.onCancelled = (id) => this.#session?.cancel(id);
    this.jobTails = new SubmissionTails(
      store,
      submissionStreams(options.submissionStreams),
      (rows) => this.directory.applyJobRows(rows),
      log,
    );
    this.#cellTail = createCellTail(store, this.directory, log);
    this.#election = new Election(store, { node, incarnation }, log);
    this.#election.onWinner = () => this.#handleWinner();
    this.server = new PeerServer((channel, hello) =>
      this.#acceptKeeper(channel, hello)
    );
  }

  /** Accepts connections, announces this entry and follows the streams. */
  async start(): Promise<void> {
    const { node, host, peerPort: port, incarnation, strength } = this.options;
    await this.server.listen(host, port);
    const row = { role: "entry", host, port, incarnation, strength } as const;
    this.#announcer = new PeerAnnouncer(
      this.store,
      node,
      row,
      () => this.#session !== undefined || this.server.openChannels > 0,
      systemClock,
      this.log,
    );
    void this.#announcer.run();
    this.jobTails.run();
    void this.#cellTail.run();
    void this.#election.tail.run();
    void this.#watch();
  }

  /** Applies the queues of the current configuration. */
  setQueues(queues: readonly Queue[]): void {
    this.#queues = queues;
    this.load.admission?.setQueues(queues);
    this.#session?.setQueues(queues);
  }

  /** Whether the keeper, perhaps this entry, cannot reach the store either. */
  hearsOutage(nowMs: number): boolean {
    return this.#contact.isUnsure(nowMs) ||
      this.#session?.options.writer.isUnsure(nowMs) === true;
  }

  /**
   * Stops campaigning for good. If this entry is the keeper, it asks for a
   * successor and remains keeper until one is elected.
   */
  resign(): void {
    this.#hasResigned = true;
    this.#session?.resign();
  }

  close(): void {
    this.#isClosed = true;
    this.#announcer?.stop();
    this.#endSession();
    this.server.close();
    this.jobTails.stop();
    for (const tail of [this.#cellTail, this.#election.tail]) tail.stop();
  }

  #acceptKeeper(
    channel: Channel<PeerMessage, KeeperMessage>,
    { epoch, keeper }: Extract<KeeperMessage, { kind: "hello" }>,
  ): void {
    const { log, options: { incarnation } } = this;
    const connected = this.#contact.connect(epoch);
    if (connected.epoch > epoch) {
      channel.send({ kind: "superseded", epoch: connected.epoch });
      channel.close("superseded by a newer keeper");
      return;
    }
    log.info("keeper_heard", { epoch, keeper });
    if (this.#session !== undefined && this.#session.epoch < epoch) {
      this.#session.options.writer.depose("superseded");
    }
    const ageMs = Math.round(performance.now());
    channel.send({ kind: "process", incarnation, ageMs });
    channel.onMessage = (message) => this.#handleKeeperMessage(message, epoch);
    channel.onClose = (reason) => {
      log.info("keeper_gone", { epoch, keeper, reason });
      this.#contact.disconnect(connected);
    };
  }

  #handleKeeperMessage(message: KeeperMessage, epoch: number): void {
    if (message.kind === "states") {
      for (const [id, state] of message.jobs) this.directory.advance(id, state);
    } else if (message.kind === "load") {
      this.load.receive(message);
    } else if (message.kind === "unsure") {
      this.#contact.recordUnsure();
    } else if (message.kind === "resigned") {
      this.#contact.recordResigned(epoch);
      void sleep(this.#strengthDelayMs).then(() => this.#campaignIfDue(0));
    }
  }

  async #watch(): Promise<void> {
    const delayMs = Math.random() * maxCampaignDelayMs + this.#strengthDelayMs;
    while (!this.#isClosed) {
      await sleep(watchIntervalMs);
      await this.#campaignIfDue(delayMs);
      this.#handOverIfWeak();
    }
  }

  get #strengthDelayMs(): number {
    return (1 - this.options.strength) * maxStrengthDelayMs;
  }

  #handOverIfWeak(): void {
    const session = this.#session;
    if (session === undefined || session.ageMs < weakSessionMs) return;
    const { strength } = this.options;
    if (strength < minStrong && session.hasEntry(minStrong)) session.resign();
  }

  async #campaignIfDue(delayMs: number): Promise<void> {
    const reason = campaignReason(this.#keeperView(delayMs));
    if (reason !== undefined) await this.#election.campaign(reason);
  }

  #keeperView(delayMs: number): KeeperView {
    const { epoch, tail } = this.#election;
    const minMs = this.#strengthDelayMs;
    const nowMs = performance.now();
    return {
      isIneligible: this.#session !== undefined || this.#isTakingOver ||
        this.#hasResigned,
      isCaughtUp: tail.isCaughtUp && this.#cellTail.isCaughtUp &&
        this.jobTails.isCaughtUp,
      isStrong: this.options.strength >= minStrong,
      winner: this.#election.winnerKind,
      hasResigned: this.#contact.hasResigned(epoch, minMs, nowMs),
      isConnected: this.#contact.isConnected(nowMs),
      keeperActiveAtMs: Math.max(
        this.#contact.connectedAtMs,
        this.#cellTail.grewAtMs,
      ),
      readAtMs: this.#election.winner === undefined
        ? tail.readAtMs
        : this.#cellTail.readAtMs,
      nowMs,
      delayMs,
    };
  }

  #handleWinner(): void {
    if (this.#session !== undefined) this.#endSession();
    if (this.#election.isWon) void this.#takeOver();
    else this.#cellTail.grewAtMs = performance.now();
  }

  async #takeOver(): Promise<void> {
    const { epoch } = this.#election;
    const { node } = this.options;
    this.#isTakingOver = true;
    const writer = new RowWriter(
      this.store,
      streams.cell,
      epoch,
      () => ({ key: "keeper", value: JSON.stringify({ node, epoch }) }),
      () => this.#handleDeposed(epoch),
      systemClock,
      this.log,
      this.options.storeLimits,
    );
    const end = await writer.takeOver();
    const isCurrent = () =>
      !this.#isClosed && !writer.isDeposed &&
      this.#election.epoch === epoch && this.#contact.heardEpoch <= epoch;
    while (end !== undefined && isCurrent()) {
      // A job is stored before its progress row, so the jobs are read last: no
      // job is then missing of which a progress row was read. Where a stream of
      // jobs cannot be read, it suffices that the jobs of all rows are known.
      const isRead = await this.#cellTail.readUntil(end) &&
        (await this.jobTails.refresh() || this.directory.isComplete);
      if (isRead && isCurrent()) {
        this.#beginSession(epoch, writer);
        break;
      }
      await sleep(watchIntervalMs);
    }
    if (this.#session === undefined) writer.close();
    this.#isTakingOver = false;
  }

  #beginSession(epoch: number, writer: RowWriter): void {
    const { bounds, node } = this.options;
    this.#cellTail.stop();
    const hello = { kind: "hello", epoch, keeper: node } as const;
    const links = new PeerLinks(hello, this.log);
    const session = new KeeperSession({
      epoch,
      writer,
      predecessor: this.#election.predecessor,
      directory: this.directory,
      bounds,
      links,
      operatorRead: () => this.evacuations?.read,
      unevenLoad: this.options.hardLoad,
      advisor: this.advisor,
      clock: systemClock,
      metrics: this.metrics,
      log: this.log,
      load: this.load.newReporter(links),
    });
    this.load.prepare(session.cell);
    session.load(this.#queues);
    if (this.evacuations) session.setEvacuations(this.evacuations.zones);
    this.#session = session;
    writer.write([], () => {});
    this.#peersTail = createPeersTail(session, node, this.store, this.log);
    void this.#peersTail.run();
    if (this.#hasResigned) session.resign();
  }

  #handleDeposed(epoch: number): void {
    if (this.#session?.epoch === epoch) this.#endSession();
  }

  #endSession(): void {
    const session = this.#session;
    if (session === undefined) return;
    this.#session = undefined;
    this.#peersTail?.stop();
    session.close();
    this.directory.clearProgress();
    this.#cellTail = createCellTail(this.store, this.directory, this.log);
    if (!this.#isClosed) void this.#cellTail.run();
  }
}
