import type { Server } from "node:http";
import { parseTaskName } from "../../src/core/jobs/parse_task_name.ts";
import { runKey } from "../../src/core/jobs/run_key.ts";
import type { TaskName } from "../../src/core/jobs/task_name.ts";
import { systemClock } from "../../src/adapters/system_clock.ts";
import type { RunnerAnswer } from "../../src/gate/runner_answer.ts";
import { jsonServer } from "../../stand_ins/json_server.ts";
import { RunnerModel } from "../../stand_ins/runner/runner_model.ts";
import type { Judge } from "./judge.ts";

export const capacityMilli = 4_000;
const beatEveryMs = 400;
const watchEveryMs = 25;

interface Order {
  readonly task: TaskName;
  readonly run: number;
  readonly spec?: string;
  readonly fencingToken?: number;
  readonly deadlineMs?: number;
  readonly checkpoint?: string;
  readonly lastSeen?: number;
  readonly waitMs?: number;
}

/** A runner that speaks the platform's calls, and works for as long as told. */
export class RunnerStandIn {
  readonly model = new RunnerModel(systemClock, 0.99);
  readonly #server: Server;
  readonly #timers: NodeJS.Timeout[] = [];
  /** What runs, as the judge knows it, and when its work is done. */
  readonly #atWork = new Map<string, { doneAtMs: number; cpuMilli: number }>();
  /** What each start was told to run, by its run's key. */
  readonly #specs = new Map<string, string>();
  #bornMs = Date.now();
  #ends = 0;
  #sequence = 0;

  constructor(
    readonly name: string,
    readonly host: string,
    readonly port: number,
    /** Where its sidecar takes heartbeats. */
    readonly control: string,
    readonly judge: Judge,
  ) {
    this.#server = jsonServer(async (_method, url, body) => {
      const order = body as Order;
      const instance = this.model.instance;
      const { task, run, fencingToken: epoch = 0 } = order;
      switch (url.pathname) {
        case "/v1/run-start": {
          this.#specs.set(runKey(order), order.spec ?? "");
          return this.#reply(
            await this.model.start({
              instance,
              epoch,
              task,
              run,
              payload: order.spec ?? "",
              ticket: undefined,
              checkpoint: order.checkpoint ?? "",
              untilClockMs: order.deadlineMs ?? 0,
            }),
          );
        }
        case "/v1/run-stop":
          return this.#reply(
            await this.model.stop({ instance, epoch, task, run }),
          );
        case "/v1/hold":
          return await this.#hold(order, epoch, instance);
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
      setInterval(() => void this.#beat(), beatEveryMs),
      setInterval(() => this.#watch(), watchEveryMs),
    );
    await this.#beat();
  }

  /** Crashes, and starts anew under the same id. */
  reborn(): void {
    for (const task of this.#atWork.keys()) {
      this.judge.over(this.name, task, "lapsed");
    }
    this.#atWork.clear();
    this.model.reborn();
    this.#bornMs = Date.now();
    this.#ends = 0;
  }

  close(): void {
    for (const timer of this.#timers) clearInterval(timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #hold(order: Order, epoch: number, instance: string) {
    const forgetUpTo = order.lastSeen ?? 0;
    for (const { number, task, outcome } of this.model.ends) {
      if (number <= forgetUpTo) this.judge.noted(task, outcome);
    }
    const answer = await this.model.hold({
      instance,
      epoch,
      forgetUpTo,
      untilClockMs: order.deadlineMs,
      waitMs: order.waitMs ?? 0,
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

  #reply(answer: RunnerAnswer<unknown>) {
    this.#watch();
    const { clockMs } = answer;
    const body = { clockMs, born: this.#bornMs };
    if (answer.isOk) return { status: 200, body };
    if (clockMs === undefined) return "hang up" as const;
    const reason = answer.failure === "fenced" ? "fence" : answer.failure;
    return { status: 409, body: { ...body, reason } };
  }

  /** Tells the judge what has begun and ended, and ends what is due. */
  #watch(): void {
    const { model } = this;
    const isHeld = model.clockMs < model.untilClockMs;
    for (const { task, run } of [...model.running.values()]) {
      const known = this.#atWork.get(task);
      if (known === undefined) this.#begin(task, run);
      if (!isHeld) model.end(task, "lapsed");
      else if ((known?.doneAtMs ?? Infinity) <= performance.now()) {
        model.end(task, "done");
      }
    }
    for (const { number, task, outcome } of model.ends) {
      if (number <= this.#ends) continue;
      this.#ends = number;
      this.#atWork.delete(task);
      this.judge.over(this.name, task, outcome);
    }
  }

  #begin(task: TaskName, run: number): void {
    const place = parseTaskName(task);
    const steps = this.judge.jobs.get(place?.job ?? "")?.steps;
    const work = steps?.[place?.step ?? -1] ?? { ms: 0, cpuMilli: 0 };
    const spec = this.#specs.get(runKey({ task, run })) ?? "";
    this.judge.begun(this.name, task, spec);
    const doneAtMs = performance.now() + work.ms;
    this.#atWork.set(task, { doneAtMs, cpuMilli: work.cpuMilli });
    let used = 0;
    for (const { cpuMilli } of this.#atWork.values()) used += cpuMilli;
    if (used > capacityMilli) {
      this.judge.break("limit", `${used} of ${capacityMilli} on ${this.name}`);
    }
  }

  async #beat(): Promise<void> {
    this.#sequence += 1;
    const body = {
      service: "pool",
      address: `${this.host}:${this.port}`,
      zone: "z",
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
      await fetch(`http://${this.control}${path}`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(beatEveryMs),
      });
    } catch {
      // The sidecar is away for now; the next beat tells it the same.
    }
  }
}
