import { Logger } from "../../src/adapters/logger.ts";
import { PrometheusMetrics } from "../../src/adapters/prometheus_metrics.ts";
import type { KeeperBounds } from "../../src/cellhost/keeper_bounds.ts";
import { cancellationKey } from "../../src/cellhost/cancellation_key.ts";
import { streams } from "../../src/cellhost/streams.ts";
import type { JobDefinition } from "../../src/core/jobs/job_definition.ts";
import type { JobId } from "../../src/core/jobs/job_id.ts";
import type { NodeId } from "../../src/core/jobs/node_id.ts";
import type { TaskName } from "../../src/core/jobs/task_name.ts";
import type { StepDefinition } from "../../src/core/jobs/step_definition.ts";
import type { KeeperMessage } from "../../src/link/keeper_message.ts";
import { VirtualClock } from "../../stand_ins/clock/virtual_clock.ts";
import { plainQueue } from "../../stand_ins/plain_queue.ts";
import { SeededRandom } from "../../stand_ins/seeded_random.ts";
import { StoreModel } from "../../stand_ins/store/store_model.ts";
import { Connection } from "./connection.ts";
import { createAnnouncer } from "./create_announcer.ts";
import { describeMessage } from "./describe_message.ts";
import { HistoryKeeper } from "./history_keeper.ts";
import { HistoryLinks } from "./history_links.ts";
import { HistoryWorker } from "./history_worker.ts";
import { KillSwitch } from "./kill_switch.ts";
import { listFewEnds } from "./list_few_ends.ts";
import { ServiceWatch } from "./service_watch.ts";
import { ProcessClock } from "./process_clock.ts";
import { ProcessStore } from "./process_store.ts";
import { predecessorOf } from "./predecessor_of.ts";
import { RunChecker } from "./run_checker.ts";

const workerCount = 3;
const maxHoldMs = 6_000;
const capacityMilli = 4_000;
/** How long after a keeper's death another is elected. */
const electionMs = 900;
const shownIntervalMs = 500;

const queue = plainQueue();

const metrics = new PrometheusMetrics();
const log = new Logger("silent", {});

/**
 * The deployed design on virtual time: keepers, sidecars and their gates, with
 * models of the store, the network and the runners between them.
 */
export class HistoryWorld {
  readonly clock = new VirtualClock(1);
  readonly store = new StoreModel();
  readonly checker: RunChecker;
  readonly workers: readonly HistoryWorker[];
  readonly keepers: HistoryKeeper[] = [];
  readonly trace: string[] = [];
  readonly killSwitch: KillSwitch;
  /** From the death of a keeper that the switch kills to the next election. */
  killedForMs = electionMs;
  readonly #services = new ServiceWatch(this);
  /** Until when the store loses answers. */
  losesAnswersUntilMs = 0;
  /** Whether a keeper, by its epoch, cannot connect to a worker. */
  isBlocked: (epoch: number, node: NodeId) => boolean = () => false;
  readonly #bounds: KeeperBounds;
  readonly #random: SeededRandom;
  readonly #connections = new Map<NodeId, Set<Connection>>();

  constructor(
    readonly seed: number,
    evacuateMs?: number,
    readonly isLasting = false,
    readonly appendsWhenIdle = isLasting,
  ) {
    this.#bounds = { maxHoldMs, evacuateMs };
    this.checker = new RunChecker(
      capacityMilli,
      queue.maxAttempts,
      evacuateMs,
    );
    this.#random = new SeededRandom(seed);
    this.killSwitch = new KillSwitch(
      (task) => this.checker.stepOf(task)?.isService === true,
      (epoch) => {
        if (epoch !== this.newestKeeper.options.epoch) return;
        this.note(`k${epoch} is killed`);
        this.killKeeper(this.killedForMs);
      },
    );
    this.workers = Array.from(
      { length: workerCount },
      (_, index) =>
        new HistoryWorker(
          `w${index}` as NodeId,
          this.clock,
          this.#random,
          this.#bounds,
          this.checker,
          log,
          (line) => this.note(line),
          (node, clock) =>
            isLasting ? createAnnouncer(this, node, clock) : undefined,
        ),
    );
    listFewEnds(seed, this.workers);
    for (const worker of this.workers) {
      worker.onStart = () => {
        for (const { runner } of this.workers) runner.endIfLapsed();
      };
      worker.onEnded = (end) =>
        this.killSwitch.noteListed(end, this.newestKeeper.options.epoch);
      worker.onRestarted = () => this.disturb();
      worker.onSidecarEnded = () => {
        for (const connection of this.#connectionsOf(worker.node)) {
          connection.close(1, "killed");
        }
      };
    }
    this.elect();
    void this.#checkShown();
    if (isLasting) void this.#services.run();
  }

  get newestKeeper(): HistoryKeeper {
    return this.keepers.at(-1)!;
  }

  note(line: string): void {
    this.trace.push(`${Math.round(this.clock.nowMs())} ${line}`);
  }

  /** Elects a new process as keeper; earlier ones are not told. */
  elect(): void {
    const clock = new ProcessClock(this.clock);
    const epoch = this.keepers.length + 1;
    const hello = { kind: "hello", epoch, keeper: `k${epoch}` } as const;
    const links = new HistoryLinks(
      hello,
      clock,
      (node, message) => this.#connect(node, clock, message),
      this.killSwitch.observerOf(epoch),
    );
    const store = this.createStore(clock);
    store.onAppended = (stream, rows) => {
      if (stream === streams.cell) this.killSwitch.noteStored(rows, epoch);
    };
    this.disturb();
    this.note(`k${epoch} is elected`);
    this.keepers.push(
      new HistoryKeeper({
        epoch,
        predecessor: predecessorOf(this, epoch, clock),
        clock,
        store,
        links,
        maxHoldMs,
        evacuateMs: this.#bounds.evacuateMs,
        queue,
        workers: this.workers.map(({ node }) => node),
        isLasting: this.isLasting,
        appendsWhenIdle: this.appendsWhenIdle,
        metrics,
        log,
      }),
    );
  }

  /** A process's view of the store. */
  createStore(clock: ProcessClock): ProcessStore {
    const isLosing = () => this.clock.nowMs() < this.losesAnswersUntilMs;
    return new ProcessStore(this.store, clock, this.#random, isLosing);
  }

  killKeeper(electMs = electionMs): void {
    const keeper = this.newestKeeper;
    keeper.kill();
    void this.clock.sleep(electMs).then(() => {
      if (keeper === this.newestKeeper) this.elect();
    });
  }

  /** Submits a job; the first task of one that crashes does so at each start. */
  submit(steps: readonly StepDefinition[], isCrashing = false): void {
    const id = `j${this.checker.jobs.size}` as JobId;
    if (isCrashing) this.checker.crashingTasks.add(`${id}.0.0.0` as TaskName);
    const definition: JobDefinition = {
      id,
      queue: queue.name,
      payload: `payload of ${id}`,
      steps,
      schedule: undefined,
      receivedMs: this.clock.wallMs(),
    };
    this.checker.submit(definition, this.clock.nowMs());
    const row = { key: id, value: JSON.stringify(definition) };
    void this.store.append(streams.jobs, [row], { kind: "none" });
  }

  cancel(id: JobId): void {
    const job = this.checker.jobs.get(id);
    if (job === undefined) return;
    job.isCancelled = true;
    const row = { key: cancellationKey(id), value: "0" };
    void this.store.append(streams.jobs, [row], { kind: "none" });
  }

  /** Writes the operator's request to evacuate, or revokes it. */
  evacuate(zone: string, isRequested = true): void {
    this.note(`${isRequested ? "evacuate" : "reopen"} ${zone}`);
    const value = isRequested ? "{}" : undefined;
    const row = { key: `evacuate/${zone}`, value };
    void this.store.append(streams.operator, [row], { kind: "none" });
    if (isRequested) this.checker.evacuated(zone, this.clock.nowMs());
    else this.checker.reopened(zone);
  }

  /** Loses what is in transit to and from a worker, for a time. */
  cutLinks(worker: HistoryWorker, cutMs: number): void {
    worker.cutUntilMs = this.clock.nowMs() + cutMs;
    for (const each of this.#connectionsOf(worker.node)) each.cut();
    this.#connectionsOf(worker.node).clear();
  }

  /** Closes a worker's connections from the keeper's end. */
  resetLinks(worker: HistoryWorker): void {
    const connections = this.#connectionsOf(worker.node);
    for (const each of connections) each.close(0, "reset");
    connections.clear();
  }

  restartSidecar(worker: HistoryWorker, downMs: number): void {
    const { runner, sidecar } = worker;
    if (sidecar === undefined) return;
    worker.killSidecar();
    void this.clock.sleep(downMs).then(() => {
      const isReplaced = worker.runner !== runner ||
        worker.sidecar !== undefined;
      if (!isReplaced) worker.startSidecar();
    });
  }

  disturb(): void {
    this.#services.disturb();
  }

  /** Cancels the services, which end in no other way. */
  cancelServices(): void {
    for (const [id, { definition }] of this.checker.jobs) {
      if (definition.steps.some(({ isService }) => isService)) this.cancel(id);
    }
  }

  /** Ends all faults; one keeper is left. */
  heal(): void {
    this.note("heal");
    this.disturb();
    this.killSwitch.armed = undefined;
    this.losesAnswersUntilMs = 0;
    for (const { options } of this.keepers) {
      options.clock.resume();
      options.store.isCut = false;
    }
    for (const worker of this.workers) {
      worker.cutUntilMs = 0;
      worker.silence(false);
      worker.mend();
      worker.runner.faults.length = 0;
      worker.sidecar?.clock.resume();
      worker.resize(capacityMilli);
      if (worker.hasLeft) worker.comeBack();
      else if (worker.isDraining) worker.restartRunner();
      if (this.checker.isEvacuated(worker.zone)) {
        this.evacuate(worker.zone, false);
      }
    }
    if (!this.newestKeeper.isActive) this.elect();
  }

  #connect(
    node: NodeId,
    clock: ProcessClock,
    hello: Extract<KeeperMessage, { kind: "hello" }>,
  ): Connection | undefined {
    const worker = this.workers.find((each) => each.node === node)!;
    const { sidecar } = worker;
    const isCut = this.clock.nowMs() < worker.cutUntilMs;
    if (isCut || sidecar === undefined) return undefined;
    if (this.isBlocked(hello.epoch, node)) return undefined;
    const connection = new Connection([clock, sidecar.clock], this.#random);
    connection.onSent = (from, message) => {
      const line = describeMessage(message);
      const sender = from === 0 ? hello.keeper : node;
      if (line !== undefined) this.note(`${sender} sends ${line}`);
    };
    this.#connectionsOf(node).add(connection);
    void sidecar.clock.sleep(0).then(() => sidecar.accept(connection, hello));
    return connection;
  }

  #connectionsOf(node: NodeId): Set<Connection> {
    const known = this.#connections.get(node);
    if (known !== undefined) return known;
    const connections = new Set<Connection>();
    this.#connections.set(node, connections);
    return connections;
  }

  async #checkShown(): Promise<void> {
    while (true) {
      await this.clock.sleep(shownIntervalMs);
      for (const { directory } of this.keepers) {
        for (const id of this.checker.jobs.keys()) {
          this.checker.shown(id, directory.state(id));
        }
      }
    }
  }
}
