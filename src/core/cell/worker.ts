import { addResources } from "../resources/add_resources.ts";
import { noResources } from "../resources/no_resources.ts";
import { subtractResources } from "../resources/subtract_resources.ts";
import type { Resources } from "../../schema/resources.ts";
import type { SpeedState } from "../estimate/speed_state.ts";
import type { NodeId } from "../jobs/node_id.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import type { RunStatus } from "../jobs/run_status.ts";
import type { TaskName } from "../jobs/task_name.ts";
import { maxPendingStarts } from "./max_pending_starts.ts";
import { isIsolated } from "./is_isolated.ts";
import { reservedResources } from "./reserved_resources.ts";
import type { Task } from "./task.ts";
import type { TaskGroup } from "./task_group.ts";
import type { SidecarReport } from "./sidecar_report.ts";

let workerCount = 0;

/** A worker, as its keeper knows it. */
export class Worker {
  /** Of workers of equal cost, the one created first is chosen. */
  readonly order = workerCount++;
  /** The newest report of its sidecar. */
  report: SidecarReport | undefined;
  /** When that came, by the keeper's monotonic clock. */
  reportedAtMs = -Infinity;
  /** Whether the lease is renewed by that report. */
  isRenewed = true;
  /**
   * Whether its sidecar is connected and the claims have been reconciled with
   * the runs of its current life.
   */
  isReconciled = false;
  /**
   * The lives of its runner that have ended for good, as its sidecar stored them,
   * the last one first.
   */
  endedLives: readonly RunnerLife[] = [];
  /** Whether its data centre is evacuated, so that nothing may start on it. */
  isEvacuated = false;
  /** What new fillers must leave free for services that have to move. */
  reserved: Resources = noResources;
  /** The tasks whose current run is claimed here. */
  readonly claims = new Map<TaskName, Task>();
  /** Those among them whose start is under way. */
  readonly pendingStarts = new Set<Task>();
  /** How often it has stopped being busy with starts. */
  startsFreedCount = 0;
  /** Those among them that may have crashed a worker and are starting up. */
  readonly startingSuspects = new Set<Task>();
  /** The group whose isolated tasks alone may start here, until then. */
  quiet: { readonly group: TaskGroup; readonly untilMs: number } | undefined;
  /** The resources of unclaimed runs, by run key. */
  readonly strays = new Map<string, Resources>();
  /** When the stop of each unclaimed run was last sent, by run key. */
  readonly strayStopSentAtMs = new Map<string, number>();
  /** The status last reported for each claimed run. */
  readonly statuses = new Map<TaskName, RunStatus>();
  /** The number of the last run end applied, in the runner's current life. */
  lastEnd = 0;
  /** Until when it is suspended, by the keeper's monotonic clock. */
  suspendedUntilMs = 0;
  /** How many runs failed since the last that was done or a suspension. */
  consecutiveFailures = 0;
  /** How many times it was suspended since a run was last done. */
  consecutiveSuspensions = 0;
  /** The ratio of its runs' actual to expected time, as a moving average. */
  slowness = 1;
  /** Whether it is avoided for its speed. */
  speed: SpeedState = "normal";
  /** When it was last found to be no longer slow. */
  recoveredAtMs = -Infinity;
  /** How much filler images in general slow down its services, from 0 to 1. */
  fillerSensitivity = 0;
  /** When the latency and CPU use of its runs were last sampled. */
  sampledAtMs = -Infinity;
  /** When a filler here was last stopped to move to another worker. */
  fillersMovedAtMs = -Infinity;
  /** How often the claims have changed. */
  claimVersion = 0;
  /** When one of its runs can be stuck at the earliest. */
  stuckCheckAtMs = -Infinity;
  /** How many claims were removed, except those undone. */
  removalCount = 0;
  /** How many claims are of fillers, and of services with a target. */
  fillerCount = 0;
  targetCount = 0;
  /** How many claims are of each group that has any. */
  readonly #groupCounts = new Map<TaskGroup, number>();
  #claimedResources: Resources = noResources;

  constructor(readonly node: NodeId) {}

  /** Its CPU capacity; at least 1, so that it can serve as a divisor. */
  get capacityMilli(): number {
    return Math.max(1, this.report?.capacity.cpuMilli ?? 1);
  }

  /**
   * Whether an isolated task is starting up here. Nothing else starts meanwhile:
   * it would be lost in a further crash, and be a suspect of it.
   */
  get hasIsolatedStart(): boolean {
    for (const task of this.startingSuspects) {
      if (isIsolated(task)) return true;
    }
    return false;
  }

  /** Whether only isolated tasks of one group may start here. */
  isQuiet(nowMs: number): boolean {
    return this.quiet !== undefined && nowMs < this.quiet.untilMs;
  }

  /** Whether as many starts are under way as may be. */
  get isBusyStarting(): boolean {
    return this.pendingStarts.size >= maxPendingStarts;
  }

  /** Records that a task's start is under way. */
  beginPendingStart(task: Task): void {
    if (this.pendingStarts.has(task)) return;
    this.pendingStarts.add(task);
    task.group.job.pendingStartCount += 1;
  }

  /** Records that a start is no longer under way. */
  endPendingStart(task: Task): void {
    const wasBusy = this.isBusyStarting;
    if (!this.pendingStarts.delete(task)) return;
    task.group.job.pendingStartCount -= 1;
    if (wasBusy) this.startsFreedCount += 1;
  }

  /** The last of its runner's lives that have ended for good, if any is known. */
  get endedLife(): RunnerLife | undefined {
    return this.endedLives[0];
  }

  /** The resources that claimed and unclaimed runs reserve. */
  get used(): Resources {
    let used = this.#claimedResources;
    for (const each of this.strays.values()) used = addResources(used, each);
    return used;
  }

  /** The resources that no run reserves. */
  get free(): Resources {
    return subtractResources(this.report?.capacity ?? noResources, this.used);
  }

  /** Returns the task if this run of it is claimed here. */
  claimedTask(name: TaskName, run: number): Task | undefined {
    const task = this.claims.get(name);
    return task?.run === run ? task : undefined;
  }

  /** How many claims are of a group. */
  countOf(group: TaskGroup): number {
    return this.#groupCounts.get(group) ?? 0;
  }

  /** Adds a task's claim and reserves its resources. */
  addClaim(task: Task): void {
    if (this.claims.has(task.name)) return;
    this.claims.set(task.name, task);
    if (task.crashes > 0 && task.claim?.isStartingUp) {
      this.startingSuspects.add(task);
    }
    this.#count(task, 1);
    this.#claimedResources = addResources(
      this.#claimedResources,
      reservedResources(task.group.definition),
    );
  }

  /** Removes a task's claim and frees its resources. */
  removeClaim(task: Task): void {
    task.group.job.changeCount += 1;
    if (!this.claims.delete(task.name)) return;
    this.removalCount += 1;
    this.endPendingStart(task);
    this.startingSuspects.delete(task);
    this.#count(task, -1);
    this.statuses.delete(task.name);
    this.#claimedResources = subtractResources(
      this.#claimedResources,
      reservedResources(task.group.definition),
    );
  }

  /** Ends the startup of a claimed run. */
  endStartup(task: Task): void {
    if (task.claim !== undefined) task.claim.isStartingUp = false;
    this.startingSuspects.delete(task);
  }

  /**
   * Removes a claim that was added on trial. The worker is as it was before, so
   * this does not count as a removal.
   */
  undoClaim(task: Task): void {
    this.removeClaim(task);
    this.removalCount -= 1;
  }

  #count({ group }: Task, change: number): void {
    this.claimVersion += 1;
    group.job.changeCount += 1;
    group.claimCount += change;
    const groupCount = this.countOf(group) + change;
    if (groupCount === 0) this.#groupCounts.delete(group);
    else this.#groupCounts.set(group, groupCount);
    const { isFiller, isService, targetLatencyMs } = group.definition;
    if (isFiller) this.fillerCount += change;
    if (isService && targetLatencyMs > 0) this.targetCount += change;
  }
}
