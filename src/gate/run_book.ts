import type { StartOrder } from "../core/cell/start_order.ts";
import type { StartRefusal } from "../core/cell/start_refusal.ts";
import type { TaskName } from "../core/jobs/task_name.ts";
import type { StopOrder } from "../link/stop_order.ts";
import type { GateContext } from "./gate_context.ts";
import { hasRoom } from "./has_room.ts";
import { lifeOf } from "./life_of.ts";
import type { Run } from "./run.ts";
import { runKey } from "../core/jobs/run_key.ts";
import type { RunnerFailure } from "./runner_failure.ts";
import type { RunnerLook } from "./runner_look.ts";

const retryPauseMs = 30;
/** The pace of a run that was found is not known, so it is told anew. */
const unknownPace = -1;

/**
 * The runs on a runner, from the order to the listed end. A start or stop that
 * got no answer may be carried out late, so it is repeated until one comes;
 * until a run is surely gone it holds its room.
 */
export class RunBook {
  readonly runs = new Map<string, Run>();

  constructor(readonly context: GateContext) {}

  /** How many runs it has found of which it knows nothing more. */
  get unexplained(): number {
    return [...this.runs.values()].filter(({ order }) => order === undefined)
      .length;
  }

  /** Whether a stop waits for a look to show that its run is gone. */
  get hasStopped(): boolean {
    return [...this.runs.values()].some((run) => run.stoppedAtMs !== undefined);
  }

  /** The runs whose start or stop is not settled. */
  get unsettled(): string[] {
    return [...this.runs.values()]
      .filter(({ phase }) => phase !== "running")
      .map(runKey);
  }

  /**
   * The runner has begun a new life, which runs nothing of before. A start that
   * got no answer may reach the new one, so it is stopped there.
   */
  newLife(): void {
    const starting = [...this.runs.values()]
      .filter(({ phase }) => phase === "starting");
    this.runs.clear();
    for (const run of starting) {
      const carried = { ...run };
      this.runs.set(runKey(carried), carried);
      void this.#stop(carried);
    }
  }

  /** Compares with what the runner lists; the look was asked for at a time. */
  takeLook(look: RunnerLook, sentAtMs: number): void {
    const listed = new Set(look.running.map(runKey));
    const ended = new Set(look.ends.map(runKey));
    for (const [key, run] of this.runs) {
      if (ended.has(key)) this.runs.delete(key);
      else if (listed.has(key)) continue;
      else if (run.stoppedAtMs !== undefined && run.stoppedAtMs < sentAtMs) {
        this.runs.delete(key);
        this.#refuse(run, "old");
      }
    }
    for (const status of look.running) {
      const key = runKey(status);
      const known = this.runs.get(key);
      if (known === undefined) this.runs.set(key, foundRun(status));
      else if (known.phase === "starting") this.#started(known);
    }
  }

  /** Takes in what the keeper knows of a run that was found. */
  learn(order: StartOrder): void {
    const run = this.runs.get(runKey(order));
    if (run !== undefined) run.order ??= order;
  }

  /** Starts a run, if it fits. */
  start(order: StartOrder): void {
    if (this.runs.has(runKey(order))) {
      this.learn(order);
      return;
    }
    const run: Run = {
      ...foundRun(order),
      order,
      phase: "starting",
      pace: 100,
    };
    const refusal = this.#whyNot(order);
    if (refusal !== undefined) {
      this.#refuse(run, refusal);
      return;
    }
    this.runs.set(runKey(run), run);
    void this.#start(run, order);
  }

  /** Stops a run, also one that is not known here. */
  stop(order: StopOrder): void {
    const { info } = this.context;
    if (info === undefined || order.life !== lifeOf(info)) return;
    const key = runKey(order);
    const run = this.runs.get(key) ?? foundRun(order);
    this.runs.set(key, run);
    if (run.phase === "starting") run.isUnwanted = true;
    else if (run.phase === "running") void this.#stop(run);
  }

  #whyNot(order: StartOrder): StartRefusal | undefined {
    const { info, isDraining, isUp, lease } = this.context;
    if (info === undefined || order.life !== lifeOf(info)) return "other_life";
    if (isDraining) return "draining";
    if (!isUp || lease.untilClockMs === undefined) return "unhealthy";
    const others = [...this.runs.values()];
    return hasRoom(info.capacity, others, order) ? undefined : "no_room";
  }

  async #start(run: Run, order: StartOrder): Promise<void> {
    const { context } = this;
    const instance = context.info!.instance;
    while (this.#isStarting(run)) {
      const answer = await context.runner.start({
        instance,
        epoch: context.epoch,
        task: run.task,
        run: run.run,
        payload: order.payload,
        ticket: order.ticket,
        checkpoint: order.checkpoint,
        untilClockMs: context.lease.grant() ?? 0,
      });
      // A look may have shown meanwhile that it runs, or has ended.
      if (!this.#isStarting(run)) return;
      context.heard(answer);
      if (answer.isOk) {
        this.#started(run);
        return;
      }
      if (answer.failure === "unknown") {
        run.isUncertain = true;
        if (run.isUnwanted) break;
        const { task } = run;
        context.log.warn("start_unanswered", { task, run: run.run });
        await context.clock.sleep(retryPauseMs);
        continue;
      }
      if (run.isUncertain) break;
      if (answer.failure === "old") {
        // It may have run and ended: the next look tells.
        run.phase = "stopping";
        run.stoppedAtMs = context.clock.nowMs();
        context.lookSoon();
        return;
      }
      this.runs.delete(runKey(run));
      this.#refuse(run, refusalOf(answer.failure));
      return;
    }
    if (this.#isStarting(run)) await this.#stop(run);
  }

  #started(run: Run): void {
    run.isUncertain = false;
    run.phase = "running";
    const { task } = run;
    this.context.send({ kind: "started", task, run: run.run });
    if (run.isUnwanted) void this.#stop(run);
  }

  async #stop(run: Run): Promise<void> {
    run.phase = "stopping";
    const { context } = this;
    const instance = context.info!.instance;
    while (this.#isCurrent(run)) {
      const { epoch } = context;
      const { task } = run;
      const answer = await context.runner.stop({
        instance,
        epoch,
        task,
        run: run.run,
      });
      context.heard(answer);
      if (answer.isOk) {
        run.stoppedAtMs = context.clock.nowMs();
        context.lookSoon();
        return;
      }
      await context.clock.sleep(retryPauseMs);
    }
  }

  #refuse(run: Run, reason: StartRefusal): void {
    const { task } = run;
    this.context.log.info("start_refused", { task, run: run.run, reason });
    this.context.send({ kind: "refused", task, run: run.run, reason });
  }

  #isStarting(run: Run): boolean {
    return this.#isCurrent(run) && run.phase === "starting";
  }

  #isCurrent(run: Run): boolean {
    return !this.context.isStopped && this.runs.get(runKey(run)) === run;
  }
}

function foundRun(
  { task, run }: { readonly task: TaskName; readonly run: number },
): Run {
  return {
    task,
    run,
    order: undefined,
    phase: "running",
    isUncertain: false,
    isUnwanted: false,
    stoppedAtMs: undefined,
    pace: unknownPace,
    isPacing: false,
  };
}

function refusalOf(failure: RunnerFailure): StartRefusal {
  switch (failure) {
    case "old":
    case "late":
    case "no_room":
    case "ticket":
    case "other_life":
    case "rejected":
      return failure;
    default:
      return "unhealthy";
  }
}
