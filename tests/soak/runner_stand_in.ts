import type { Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { parseTaskName } from "../../src/core/jobs/parse_task_name.ts";
import { runKey } from "../../src/core/jobs/run_key.ts";
import type { TaskName } from "../../src/core/jobs/task_name.ts";
import { systemClock } from "../../src/adapters/system_clock.ts";
import type { RunnerResult } from "../../src/gate/runner_result.ts";
import { createJsonServer } from "../../stand_ins/create_json_server.ts";
import { RunnerModel } from "../../stand_ins/runner/runner_model.ts";
import type { GuaranteeChecker } from "./guarantee_checker.ts";
import { RunnerNotices } from "./runner_notices.ts";
import type { RunnerRequest } from "./runner_request.ts";
import type { SoakJob } from "./soak_job.ts";

export const capacityMilli = 4_000;
const heartbeatIntervalMs = 400;
const observeIntervalMs = 25;
/** From a start that crashes it to the crash, and to its next life. */
const crashAfterMs = 10;
const crashedMs = 1_200;
/** How long a runner that ends tries to have its notice confirmed. */
const unconfirmedMs = 4_000;
const noticePauseMs = 200;
const clockRate = 0.99;

/** A runner that serves the platform's calls over HTTP and simulates runs. */
export class RunnerStandIn {
  /** Its clock runs 1 % slow, which leases must tolerate. */
  model: RunnerModel;
  /** Called by the next stop, instead of an answer. */
  onNextStop: (() => void) | undefined;
  readonly #server: Server;
  readonly #timers: NodeJS.Timeout[] = [];
  /** Runs that were reported to the checker, and when their work is done. */
  readonly #activeRuns = new Map<
    string,
    {
      doneAtMs: number;
      cpuMilli: number;
      outcome: "done" | "failed";
    }
  >();
  /** The spec that each start carried, by run key. */
  readonly #specs = new Map<string, string>();
  #bornMs = Date.now();
  #lastEndNumber = 0;
  #isDown = false;
  #isDraining = false;
  /** How many runners have been at this address. */
  #lifeCount = 1;
  readonly #notices: RunnerNotices;
  #isClosed = false;

  constructor(
    readonly name: string,
    readonly host: string,
    readonly port: number,
    readonly controlAddress: string,
    readonly checker: GuaranteeChecker,
    readonly zone: string,
  ) {
    this.model = this.#createModel();
    this.#notices = new RunnerNotices(controlAddress);
    this.#server = createJsonServer(async (_method, url, body, headers) => {
      const request = body as RunnerRequest;
      const instance = this.model.instance;
      if (headers["expected-instance"] !== instance) {
        return { status: 421, body: { clockMs: this.model.clockMs } };
      }
      const { task, run, fencingToken: epoch = 0 } = request;
      switch (url.pathname) {
        case "/v1/run-start": {
          this.#specs.set(runKey(request), request.spec ?? "");
          return this.#reply(
            await this.model.start({
              instance,
              epoch,
              task,
              run,
              payload: request.spec ?? "",
              ticket: undefined,
              checkpoint: request.checkpoint ?? "",
              leaseEndClockMs: request.deadlineMs ?? 0,
            }),
          );
        }
        case "/v1/run-stop": {
          const answer = await this.model.stop({ instance, epoch, task, run });
          const { onNextStop } = this;
          if (onNextStop === undefined) return this.#reply(answer);
          this.onNextStop = undefined;
          onNextStop();
          return "hang up";
        }
        case "/v1/hold":
          return await this.#hold(request, epoch, instance);
        default:
          return { status: 404, body: {} };
      }
    });
  }

  async listen(): Promise<void> {
    await new Promise<void>((done, fail) => {
      this.#server.once("error", fail);
      this.#server.listen(this.port, this.host, done);
    });
    this.#timers.push(
      setInterval(() => void this.#sendHeartbeat(), heartbeatIntervalMs),
      setInterval(() => this.#observeRuns(), observeIntervalMs),
    );
    await this.#sendHeartbeat();
  }

  /** Whether it runs and does not drain. */
  get isServing(): boolean {
    return !this.#isDown && !this.#isDraining;
  }

  get activeTasks(): Iterable<string> {
    return this.#activeRuns.keys();
  }

  get freeMilli(): number {
    let used = 0;
    for (const { cpuMilli } of this.#activeRuns.values()) used += cpuMilli;
    return capacityMilli - used;
  }

  /** Crashes: connections are refused until the next life. */
  crash(downMs = crashedMs): void {
    if (this.#isDown) return;
    this.#isDown = true;
    this.#endRuns();
    this.model.running.clear();
    this.#closeServer();
    setTimeout(() => {
      if (this.#isClosed) return;
      this.#isDown = false;
      this.restart();
      this.#server.listen(this.port, this.host);
    }, downMs);
  }

  /**
   * Ends as planned: it drains, gives notice and ends with all that runs on
   * it. Returns whether its notice was confirmed.
   */
  async leave(drainMs: number): Promise<boolean> {
    this.#isDraining = true;
    await this.#confirm(() => this.#sendHeartbeat());
    await sleep(drainMs);
    const { instance } = this.model;
    const isConfirmed = await this.#confirm(() =>
      this.#notices.sendLeave(instance)
    );
    this.#observeRuns();
    this.#isDown = true;
    for (const task of this.#activeRuns.keys()) {
      this.checker.onRunEnded(this.name, task, "stopped");
    }
    this.#activeRuns.clear();
    this.model.running.clear();
    this.#closeServer();
    return isConfirmed;
  }

  /** Another runner begins at the address of one that has left. */
  arrive(): void {
    if (this.#isClosed) return;
    this.#lifeCount += 1;
    this.model = this.#createModel();
    this.#bornMs = Date.now();
    this.#lastEndNumber = 0;
    this.#isDraining = false;
    this.#isDown = false;
    this.#server.listen(this.port, this.host);
    void this.#sendHeartbeat();
  }

  #createModel(): RunnerModel {
    const instance = `i-${this.name}-${this.#lifeCount}`;
    return new RunnerModel(systemClock, clockRate, instance);
  }

  async #confirm(notify: () => Promise<boolean>): Promise<boolean> {
    const untilMs = performance.now() + unconfirmedMs;
    while (!this.#isClosed) {
      if (await notify()) return true;
      if (performance.now() >= untilMs) return false;
      await sleep(noticePauseMs);
    }
    return false;
  }

  #closeServer(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #endRuns(): void {
    this.checker.onRunnerCrashed(this.name, this.#activeRuns.keys());
    this.#activeRuns.clear();
  }

  /** Simulates a crash and a restart under the same id. */
  restart(): void {
    this.#endRuns();
    this.model.restart();
    this.#bornMs = Date.now();
    this.#lastEndNumber = 0;
  }

  close(): void {
    this.#isClosed = true;
    for (const timer of this.#timers) clearInterval(timer);
    this.#closeServer();
  }

  async #hold(request: RunnerRequest, epoch: number, instance: string) {
    const forgetUpTo = request.lastSeen ?? 0;
    for (const { number, task, outcome } of this.model.ends) {
      if (number <= forgetUpTo) this.checker.onEndAcknowledged(task, outcome);
    }
    const answer = await this.model.hold({
      instance,
      epoch,
      forgetUpTo,
      leaseEndClockMs: request.deadlineMs,
      waitMs: request.waitMs ?? 0,
    });
    if (!answer.isOk) return this.#reply(answer);
    const { running, ends } = answer.value;
    return {
      status: 200,
      body: {
        clockMs: answer.clockMs,
        born: this.#bornMs,
        running: running.map(({ task, run }) => [
          task,
          run,
          "",
          this.#stepOf(task)?.lasts ? 100 : 50,
          0,
        ]),
        ended: ends.map((
          { number, task, run, outcome },
        ) => [number, task, run, outcome, ""]),
      },
    };
  }

  #reply(answer: RunnerResult<unknown>) {
    this.#observeRuns();
    const { clockMs } = answer;
    const body = { clockMs, born: this.#bornMs };
    if (answer.isOk) return { status: 200, body };
    if (clockMs === undefined) return "hang up" as const;
    const reason = answer.failure === "fenced" ? "fence" : answer.failure;
    return { status: 409, body: { ...body, reason } };
  }

  /** Ends runs that are due, and reports starts and ends to the checker. */
  #observeRuns(): void {
    const { model } = this;
    const isLeaseValid = model.clockMs < model.leaseEndClockMs;
    if (this.#isDown) return;
    for (const { task, run } of [...model.running.values()]) {
      const active = this.#activeRuns.get(task);
      if (active === undefined) this.#onRunFound(task, run);
      if (!isLeaseValid) model.end(task, "lapsed");
      else if ((active?.doneAtMs ?? Infinity) <= performance.now()) {
        model.end(task, active?.outcome ?? "done");
      }
    }
    for (const { number, task, outcome } of model.ends) {
      if (number <= this.#lastEndNumber) continue;
      this.#lastEndNumber = number;
      this.#activeRuns.delete(task);
      this.checker.onRunEnded(this.name, task, outcome);
    }
  }

  #onRunFound(task: TaskName, run: number): void {
    const step = this.#stepOf(task);
    const cpuMilli = step?.cpuMilli ?? 0;
    const outcome = step?.lasts ? "failed" : "done";
    const spec = this.#specs.get(runKey({ task, run })) ?? "";
    this.checker.onRunStarted(this.name, task, spec);
    if (this.checker.crashes(task)) {
      setTimeout(() => this.crash(), crashAfterMs);
    }
    const doneAtMs = performance.now() + (step?.ms ?? 0);
    this.#activeRuns.set(task, { doneAtMs, cpuMilli, outcome });
    const { freeMilli } = this;
    if (freeMilli < 0) {
      this.checker.fail(
        "over capacity",
        `${capacityMilli - freeMilli} of ${capacityMilli} on ${this.name}`,
      );
    }
  }

  #stepOf(task: TaskName): SoakJob["steps"][number] | undefined {
    const position = parseTaskName(task);
    if (position === undefined) return undefined;
    return this.checker.jobs.get(position.job)?.steps[position.step];
  }

  async #sendHeartbeat(): Promise<boolean> {
    if (this.#isDown) return false;
    return await this.#notices.sendHeartbeat({
      instance: this.model.instance,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      capacityMilli,
      bornMs: this.#bornMs,
      isDraining: this.#isDraining,
    });
  }
}
