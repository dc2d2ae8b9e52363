import { applyRefusal } from "../src/core/cell/apply_refusal.ts";
import { Cell } from "../src/core/cell/cell.ts";
import type { CellOptions } from "../src/core/cell/cell_options.ts";
import type { CellEffect } from "../src/core/cell/cell_effect.ts";
import type { StartCommand } from "../src/core/cell/start_command.ts";
import type { StartRefusal } from "../src/core/cell/start_refusal.ts";
import type { SidecarReport } from "../src/core/cell/sidecar_report.ts";
import type { JobDefinition } from "../src/core/jobs/job_definition.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { RunEnd } from "../src/core/jobs/run_end.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import type { RunOutcome } from "../src/core/jobs/run_outcome.ts";
import type { RunStatus } from "../src/core/jobs/run_status.ts";
import { plainQueue } from "../stand_ins/plain_queue.ts";
import { plainStep } from "../stand_ins/plain_step.ts";
import type { StepDefinition } from "../src/core/jobs/step_definition.ts";
import type { Task } from "../src/core/cell/task.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import { idleReport } from "./idle_report.ts";

/**
 * A cell on virtual time. It collects the effects that the cell returns; tests
 * play the workers by reporting what they run and what has ended.
 */
export class CellFixture {
  readonly cell: Cell;
  nowMs = 1_000;
  wallMs = 1_000_000;
  effects: CellEffect[] = [];
  /** Whether the claims are not stored yet, so that their starts wait. */
  isStoreSlow = false;
  #endNumber = 0;

  constructor(
    readonly queue = { maxAttempts: 3 },
    options: Partial<CellOptions> = {},
  ) {
    this.cell = new Cell({ stuckFactor: 0.5, stuckMinMs: 2_000, ...options });
    this.cell.queues.set("q", plainQueue(queue));
  }

  static step = plainStep;

  /** Submits a job. */
  submit(
    id: string,
    steps: readonly StepDefinition[],
    change: Partial<JobDefinition> = {},
  ): void {
    this.collect(this.cell.submit({
      id: id as JobId,
      queue: "q",
      payload: "p",
      steps,
      schedule: undefined,
      receivedMs: this.wallMs,
      ...change,
    }, this.wallMs));
  }

  /** Sends the cell a report of a worker. */
  reportWorker(node: string, change: Partial<SidecarReport> = {}): void {
    const report = idleReport(node, change);
    this.collect(this.cell.handleReport(node as NodeId, report, this.nowMs));
  }

  /** Reports the end of a run, with the worker's other runs still active. */
  endRun(
    node: string,
    task: string,
    run: number,
    outcome: RunOutcome,
    checkpoint = "",
    change: Partial<SidecarReport> = {},
  ): void {
    this.#endNumber += 1;
    const end: RunEnd = {
      number: this.#endNumber,
      task: task as TaskName,
      run,
      outcome,
      checkpoint,
    };
    const running = this.runningOn(node, task);
    this.reportWorker(node, { ends: [end], running, ...change });
  }

  /** Numbers the next ends of runs from at least this number. */
  skipEnds(upTo: number): void {
    this.#endNumber = Math.max(this.#endNumber, upTo);
  }

  /** The runs of a worker that runs all its claims but one. */
  runningOn(node: string, without = ""): RunStatus[] {
    const claims = this.cell.worker(node as NodeId).claims;
    return [...claims.values()]
      .filter(({ name }) => name !== without)
      .map(({ name, run }) => ({
        task: name,
        run,
        checkpoint: "",
        percent: 0,
        figure: 0,
      }));
  }

  /** The tasks claimed on a worker. */
  runsOn(node: string): Task[] {
    return [...this.cell.worker(node as NodeId).claims.values()];
  }

  /** Advances both clocks and lets the cell decide. */
  advance(ms = 0): void {
    this.nowMs += ms;
    this.wallMs += ms;
    this.collect(this.cell.tick(this.nowMs, this.wallMs));
  }

  /** Reports that a worker refused the start of a run. */
  refuse(node: string, task: string, run: number, reason: StartRefusal): void {
    const refusal = {
      task: task as TaskName,
      run,
      life: `${node}@1` as RunnerLife,
      reason,
    };
    const worker = this.cell.worker(node as NodeId);
    this.collect(applyRefusal(this.cell, worker, refusal, this.nowMs));
  }

  /**
   * Collects the effects of a call, which runs as they are generated. Unless
   * the store is slow, starts leave at once.
   */
  collect(effects: Iterable<CellEffect>): void {
    for (const effect of effects) {
      this.effects.push(effect);
      if (effect.kind !== "start" || this.isStoreSlow) continue;
      this.cell.markOrdered(effect.node, effect.command);
    }
  }

  /** The starts since the last call, as `task#run@node`. */
  newStarts(): string[] {
    return this.#removeEffects("start").map(({ node, command }) =>
      `${command.task}#${command.run}@${node}`
    );
  }

  /** The start commands since the last call. */
  newStartCommands(): StartCommand[] {
    return this.#removeEffects("start").map(({ command }) => command);
  }

  /** The stops since the last call, as `task#run@node`. */
  newStops(): string[] {
    return this.#removeEffects("stop").map(({ node, task, run }) =>
      `${task}#${run}@${node}`
    );
  }

  /** The state of a job. */
  jobState(id: string): string {
    return this.cell.jobs.get(id as JobId)?.state ?? "none";
  }

  #removeEffects<K extends CellEffect["kind"]>(
    kind: K,
  ): Extract<CellEffect, { kind: K }>[] {
    const removed = this.effects.filter((
      effect,
    ): effect is Extract<CellEffect, { kind: K }> => effect.kind === kind);
    this.effects = this.effects.filter((effect) => effect.kind !== kind);
    return removed;
  }
}
