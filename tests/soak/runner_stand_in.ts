import type { Server } from "node:http";
import { parseTaskName } from "../../src/core/jobs/parse_task_name.ts";
import { runKey } from "../../src/core/jobs/run_key.ts";
import type { TaskName } from "../../src/core/jobs/task_name.ts";
import { systemClock } from "../../src/adapters/system_clock.ts";
import type { RunnerResult } from "../../src/gate/runner_result.ts";
import { createJsonServer } from "../../stand_ins/create_json_server.ts";
import { RunnerModel } from "../../stand_ins/runner/runner_model.ts";
import type { GuaranteeChecker } from "./guarantee_checker.ts";

export const capacityMilli = 4_000;
const heartbeatIntervalMs = 400;
const observeIntervalMs = 25;
/** From a start that crashes it to the crash, and to its next life. */
const crashAfterMs = 10;
const crashedMs = 1_200;

interface RunnerRequest {
  readonly task: TaskName;
  readonly run: number;
  readonly spec?: string;
  readonly fencingToken?: number;
  readonly deadlineMs?: number;
  readonly checkpoint?: string;
  readonly lastSeen?: number;
  readonly waitMs?: number;
}

/** A runner that serves the platform's calls over HTTP and simulates runs. */
export class RunnerStandIn {
  /** Its clock runs 1 % slow, which leases must tolerate. */
  readonly model = new RunnerModel(systemClock, 0.99);
  readonly #server: Server;
  readonly #timers: NodeJS.Timeout[] = [];
  /** Runs that were reported to the checker, and when their work is done. */
  readonly #activeRuns = new Map<
    string,
    { doneAtMs: number; cpuMilli: number }
  >();
  /** The spec that each start carried, by run key. */
  readonly #specs = new Map<string, string>();
  #bornMs = Date.now();
  #lastEndNumber = 0;
  #sequence = 0;
  #isDown = false;
  #isClosed = false;

  constructor(
    readonly name: string,
    readonly host: string,
    readonly port: number,
    /** Where its sidecar receives heartbeats. */
    readonly controlAddress: string,
    readonly checker: GuaranteeChecker,
    readonly zone: string,
  ) {
    this.#server = createJsonServer(async (_method, url, body) => {
      const request = body as RunnerRequest;
      const instance = this.model.instance;
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
        case "/v1/run-stop":
          return this.#reply(
            await this.model.stop({ instance, epoch, task, run }),
          );
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

  /** Crashes under a task: connections are refused until the next life. */
  #crash(): void {
    if (this.#isDown) return;
    this.#isDown = true;
    this.#endRuns();
    this.model.running.clear();
    this.#server.close();
    this.#server.closeAllConnections();
    setTimeout(() => {
      if (this.#isClosed) return;
      this.#isDown = false;
      this.restart();
      this.#server.listen(this.port, this.host);
    }, crashedMs);
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
    this.#server.close();
    this.#server.closeAllConnections();
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
        running: running.map(({ task, run }) => [task, run, "", 50, 0]),
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
        model.end(task, "done");
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
    const position = parseTaskName(task);
    const jobSteps = this.checker.jobs.get(position?.job ?? "")?.steps;
    const step = jobSteps?.[position?.step ?? -1] ?? { ms: 0, cpuMilli: 0 };
    const spec = this.#specs.get(runKey({ task, run })) ?? "";
    this.checker.onRunStarted(this.name, task, spec);
    if (this.checker.crashes(task)) {
      setTimeout(() => this.#crash(), crashAfterMs);
    }
    const doneAtMs = performance.now() + step.ms;
    this.#activeRuns.set(task, { doneAtMs, cpuMilli: step.cpuMilli });
    let used = 0;
    for (const { cpuMilli } of this.#activeRuns.values()) used += cpuMilli;
    if (used > capacityMilli) {
      this.checker.fail(
        "over capacity",
        `${used} of ${capacityMilli} on ${this.name}`,
      );
    }
  }

  async #sendHeartbeat(): Promise<void> {
    if (this.#isDown) return;
    this.#sequence += 1;
    const body = {
      service: "pool",
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: "v1",
      slots: 8,
      state: "ready",
      coldRemainingMs: 0,
      capacity: { cpu: capacityMilli, memMb: 100_000, gpu: 0 },
      labels: ["a", "r1"],
      sequence: this.#sequence,
      born: this.#bornMs,
    };
    const path = `/v1/instances/${this.model.instance}/heartbeat`;
    try {
      await fetch(`http://${this.controlAddress}${path}`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(heartbeatIntervalMs),
      });
    } catch {
      // The sidecar is down; the next heartbeat carries the same content.
    }
  }
}
