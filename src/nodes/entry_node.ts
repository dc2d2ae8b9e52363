import { setTimeout as sleep } from "node:timers/promises";
import { systemClock } from "../adapters/system_clock.ts";
import type { ProcessMetrics } from "../adapters/process_metrics.ts";
import type { Logger } from "../adapters/logger.ts";
import type { Advisor } from "../cellhost/advisor.ts";
import { Election } from "../cellhost/election.ts";
import { JobDirectory } from "../cellhost/job_directory.ts";
import { KeeperSession } from "../cellhost/keeper_session.ts";
import type { MemberRow } from "../cellhost/member_row.ts";
import { parseJsonRow } from "../cellhost/parse_json_row.ts";
import { RowWriter } from "../cellhost/row_writer.ts";
import { StreamTail } from "../cellhost/stream_tail.ts";
import { streams } from "../cellhost/streams.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import type { Queue } from "../core/jobs/queue.ts";
import type { KeeperView } from "../cellhost/keeper_view.ts";
import { whyStand } from "../cellhost/why_stand.ts";
import type { StoredRow } from "../core/store/stored_row.ts";
import type { Store } from "../core/store/store.ts";
import type { KeeperMessage } from "../link/keeper_message.ts";
import { announceMember } from "./announce_member.ts";
import { MemberServer } from "./member_server.ts";
import type { NodeOptions } from "./node_options.ts";

const tailWaitMs = 2_000;
/** How far a standby may lag behind the keeper. */
const standbyPauseMs = 200;
const watchEveryMs = 50;
/** For how long a keeper's word that it cannot reach the store holds. */
const unsureForMs = 1_000;
/** Spreads candidates, so that mostly one stands. */
const mostCampaignDelayMs = 150;
/** A machine without any strength stands so much later. */
const weakDelayMs = 600;
/** From this strength on a machine counts as strong. */
const strongFrom = 0.9;
/** A weak keeper asks stronger entries to take over after this. */
const weakTermMs = 3_000;

/** An entry: takes jobs, tells how they stand, and may keep the cell. */
export class EntryNode {
  readonly directory: JobDirectory;
  readonly jobsTail: StreamTail;
  readonly #election: Election;
  #cellTail: StreamTail;
  #membersTail: StreamTail | undefined;
  #session: KeeperSession | undefined;
  readonly #server: MemberServer;
  #queues: readonly Queue[] = [];
  #keeperHeardAtMs = 0;
  /** The newest connection of a keeper. */
  #keeper: { readonly epoch: number } | undefined;
  #unsureAtMs = -Infinity;
  /** The newest term whose keeper has said that it leaves. */
  #resignedEpoch = 0;
  #resignedAtMs = -Infinity;
  #isClosed = false;
  #isResigned = false;
  #isTaking = false;

  constructor(
    readonly options: NodeOptions,
    readonly store: Store,
    readonly advisor: Advisor,
    readonly metrics: ProcessMetrics,
    readonly log: Logger,
  ) {
    const { node, incarnation } = options;
    this.directory = new JobDirectory(log);
    this.directory.onSubmitted = (job) => this.#session?.submit(job);
    this.directory.onCancelled = (id) => this.#session?.cancel(id);
    this.jobsTail = new StreamTail(
      store,
      streams.jobs,
      { waitMs: tailWaitMs, pauseMs: 0 },
      (rows) => this.directory.takeJobs(rows),
      log,
    );
    this.#cellTail = this.#newCellTail();
    this.#election = new Election(store, { node, incarnation }, log);
    this.#election.onWinner = () => this.#winnerSeen();
    this.#server = new MemberServer((channel, { epoch, keeper }) => {
      const known = this.#keeper;
      if (known !== undefined && epoch < known.epoch) {
        channel.send({ kind: "superseded", epoch: known.epoch });
        channel.close("a newer keeper was heard");
        return;
      }
      log.info("keeper_heard", { epoch, keeper });
      const connected = { epoch };
      this.#keeper = connected;
      this.#keeperHeardAtMs = performance.now();
      channel.onMessage = (message) => this.#takeKeeper(message, epoch);
      channel.onClose = (reason) => {
        log.info("keeper_gone", { epoch, keeper, reason });
        if (this.#keeper === connected) this.#keeper = undefined;
      };
    });
  }

  /** Starts to serve. */
  async start(): Promise<void> {
    const { node, host, memberPort, incarnation, strength } = this.options;
    await this.#server.listen(host, memberPort);
    const row = {
      role: "entry",
      host,
      port: memberPort,
      incarnation,
      strength,
    } as const;
    void announceMember(this.store, node, row, this.log);
    void this.jobsTail.run();
    void this.#cellTail.run();
    void this.#election.tail.run();
    void this.#watch();
  }

  /** The queues of the configuration in force. */
  setQueues(queues: readonly Queue[]): void {
    this.#queues = queues;
    this.#session?.setQueues(queues);
  }

  /** Whether this entry's own read of the store is fresh enough to say no. */
  isFresh(withinMs: number): boolean {
    return this.jobsTail.isCaughtUp &&
      performance.now() - this.jobsTail.readAtMs < withinMs + tailWaitMs;
  }

  /** Stands no more; a cell that it keeps it keeps until another does. */
  resign(): void {
    this.#isResigned = true;
    this.#session?.leave();
  }

  close(): void {
    this.#isClosed = true;
    this.#endTerm();
    this.#server.close();
    for (
      const tail of [this.jobsTail, this.#cellTail, this.#election.tail]
    ) tail.stop();
  }

  #newCellTail(): StreamTail {
    return new StreamTail(
      this.store,
      streams.cell,
      { waitMs: 0, pauseMs: standbyPauseMs },
      (rows) => this.directory.takeProgress(rows),
      this.log,
    );
  }

  #takeKeeper(message: KeeperMessage, epoch: number): void {
    if (message.kind === "states") {
      for (const [id, state] of message.jobs) this.directory.note(id, state);
    } else if (message.kind === "unsure") {
      this.#unsureAtMs = performance.now();
    } else if (message.kind === "resigned") {
      this.#keeper = undefined;
      this.#resignedEpoch = epoch;
      this.#resignedAtMs = performance.now();
      void sleep(this.#weakDelayMs).then(() => this.#standIfDue(0));
    }
  }

  async #watch(): Promise<void> {
    const delayMs = Math.random() * mostCampaignDelayMs + this.#weakDelayMs;
    while (!this.#isClosed) {
      await sleep(watchEveryMs);
      await this.#standIfDue(delayMs);
      this.#handOverIfWeak();
    }
  }

  get #weakDelayMs(): number {
    return (1 - this.options.strength) * weakDelayMs;
  }

  #handOverIfWeak(): void {
    const session = this.#session;
    if (session === undefined || session.ageMs < weakTermMs) return;
    const { strength } = this.options;
    if (strength < strongFrom && session.hasEntry(strongFrom)) session.leave();
  }

  async #standIfDue(delayMs: number): Promise<void> {
    const reason = whyStand(this.#view(delayMs));
    if (reason !== undefined) await this.#election.campaign(reason);
  }

  #view(delayMs: number): KeeperView {
    const { tail } = this.#election;
    const nowMs = performance.now();
    return {
      isBound: this.#session !== undefined || this.#isTaking ||
        this.#isResigned,
      isCaughtUp: tail.isCaughtUp && this.#cellTail.isCaughtUp &&
        this.jobsTail.isCaughtUp,
      isStrong: this.options.strength >= strongFrom,
      winner: this.#election.winnerIs,
      hasResigned: this.#resignedEpoch >= this.#election.epoch &&
        nowMs - this.#resignedAtMs >= this.#weakDelayMs,
      isConnected: this.#keeper !== undefined &&
        nowMs - this.#unsureAtMs > unsureForMs,
      stirredAtMs: Math.max(this.#keeperHeardAtMs, this.#cellTail.grewAtMs),
      readAtMs: this.#election.winner === undefined
        ? tail.readAtMs
        : this.#cellTail.readAtMs,
      nowMs,
      delayMs,
    };
  }

  #winnerSeen(): void {
    if (this.#session !== undefined) this.#endTerm();
    if (this.#election.isWon) void this.#takeOffice();
    else this.#cellTail.grewAtMs = performance.now();
  }

  async #takeOffice(): Promise<void> {
    const { epoch } = this.#election;
    const { node } = this.options;
    this.#isTaking = true;
    const writer = new RowWriter(
      this.store,
      streams.cell,
      epoch,
      () => ({ key: "keeper", value: JSON.stringify({ node, epoch }) }),
      () => this.#deposed(epoch),
      systemClock,
      this.log,
    );
    const end = await writer.take();
    const isCurrent = () =>
      !this.#isClosed && this.#election.epoch === epoch && !writer.isDeposed;
    while (end !== undefined && isCurrent()) {
      // A job's definition was stored before the row that names it.
      const isRead = await this.#cellTail.reach(end) &&
        await this.jobsTail.refresh();
      if (isRead && isCurrent()) {
        this.#beginTerm(epoch, writer);
        break;
      }
      await sleep(watchEveryMs);
    }
    if (this.#session === undefined) writer.close();
    this.#isTaking = false;
  }

  #beginTerm(epoch: number, writer: RowWriter): void {
    const { bounds, node } = this.options;
    this.#cellTail.stop();
    const session = new KeeperSession(
      epoch,
      writer,
      this.directory,
      bounds,
      this.log,
      node,
      this.advisor,
      this.metrics,
    );
    session.load(this.#queues);
    this.#session = session;
    writer.write([], () => {});
    this.#membersTail = new StreamTail(
      this.store,
      streams.members,
      { waitMs: tailWaitMs, pauseMs: 0 },
      (rows) => this.#takeMembers(session, rows),
      this.log,
    );
    void this.#membersTail.run();
    if (this.#isResigned) session.leave();
  }

  #takeMembers(session: KeeperSession, rows: readonly StoredRow[]): void {
    for (const { key, value } of rows) {
      if (value === undefined || key === this.options.node) continue;
      const row = parseJsonRow<MemberRow>(value, key, this.log);
      if (row !== undefined) session.setMember(key as NodeId, row);
    }
  }

  #deposed(epoch: number): void {
    if (this.#session?.epoch === epoch) this.#endTerm();
  }

  #endTerm(): void {
    const session = this.#session;
    if (session === undefined) return;
    this.#session = undefined;
    this.#membersTail?.stop();
    session.close();
    this.directory.rows.clear();
    this.#cellTail = this.#newCellTail();
    if (!this.#isClosed) void this.#cellTail.run();
  }
}
