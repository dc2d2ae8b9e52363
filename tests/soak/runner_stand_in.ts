import type { Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { systemClock } from "../../src/adapters/system_clock.ts";
import type { RunnerResult } from "../../src/gate/runner_result.ts";
import { createJsonServer } from "../../stand_ins/create_json_server.ts";
import { RunnerModel } from "../../stand_ins/runner/runner_model.ts";
import type { GuaranteeChecker } from "./guarantee_checker.ts";
import { listRuns } from "./list_runs.ts";
import { capacityMilli, RunObserver } from "./run_observer.ts";
import { RunnerLink } from "./runner_link.ts";
import { RunnerNotices } from "./runner_notices.ts";
import type { RunnerRequest } from "./runner_request.ts";

const heartbeatIntervalMs = 400;
const observeIntervalMs = 25;
/** From a start that crashes it to the crash, and to its next life. */
const crashAfterMs = 10;
const crashedMs = 1_200;
/** How long a runner that ends tries to have its notice confirmed. */
const unconfirmedMs = 4_000;
const noticePauseMs = 200;

/** A runner that serves the platform's calls over HTTP and simulates runs. */
export class RunnerStandIn {
  readonly link = new RunnerLink();
  readonly observer: RunObserver;
  /** Called by the next stop, instead of an answer. */
  onNextStop: (() => void) | undefined;
  readonly #server: Server;
  readonly #timers: NodeJS.Timeout[] = [];
  #isDraining = false;
  /** How many runners have been at this address. */
  #lifeCount = 1;
  #notices: RunnerNotices;
  /** Set while a life has yet to send its first heartbeat. */
  #silence: NodeJS.Timeout | undefined;
  #isClosed = false;

  constructor(
    readonly name: string,
    readonly host: string,
    readonly port: number,
    readonly controlAddress: string,
    readonly checker: GuaranteeChecker,
    readonly zone: string,
    /** The speed of its clock; leases must tolerate one that is slow. */
    readonly clockRate: number,
  ) {
    this.observer = new RunObserver(name, checker, this.#createModel());
    this.observer.onCrashingRun = () =>
      setTimeout(() => this.crash(), crashAfterMs);
    this.#notices = new RunnerNotices(controlAddress);
    this.#server = createJsonServer((_method, url, body, headers) =>
      this.link.pass(() =>
        this.#handle(
          url.pathname,
          body as RunnerRequest,
          headers["expected-instance"],
        )
      )
    );
  }

  async #handle(path: string, request: RunnerRequest, expected: unknown) {
    const { instance } = this.model;
    if (expected !== instance) {
      return { status: 421, body: { clockMs: this.model.clockMs } };
    }
    this.observer.update();
    const { task, run, fencingToken: epoch = 0 } = request;
    switch (path) {
      case "/v1/run-start":
        this.observer.takeCall("start", request);
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
      case "/v1/run-stop": {
        this.observer.takeCall("stop", request);
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
  }

  async listen(): Promise<void> {
    await new Promise<void>((done, fail) => {
      this.#server.once("error", fail);
      this.#server.listen(this.port, this.host, done);
    });
    this.#timers.push(
      setInterval(() => void this.#sendHeartbeat(), heartbeatIntervalMs),
      setInterval(() => this.observer.update(), observeIntervalMs),
    );
    await this.#sendHeartbeat();
  }

  /** Whether it runs and does not drain. */
  get isServing(): boolean {
    return !this.observer.isDown && !this.#isDraining;
  }

  get model(): RunnerModel {
    return this.observer.model;
  }

  get activeTasks(): Iterable<string> {
    return this.observer.activeTasks;
  }

  get freeMilli(): number {
    return this.observer.freeMilli;
  }

  /** Crashes: connections are refused until the next life. */
  crash(downMs = crashedMs): void {
    if (this.observer.isDown) return;
    this.observer.isDown = true;
    this.observer.endAll(true);
    this.model.running.clear();
    this.#closeServer();
    setTimeout(() => {
      if (this.#isClosed) return;
      this.observer.isDown = false;
      this.restart();
      this.#server.listen(this.port, this.host);
    }, downMs);
  }

  /**
   * Ends with all that runs on it. Calls are refused until its next life, or
   * held for it.
   */
  end(holdsCalls: boolean): void {
    clearTimeout(this.#silence);
    this.observer.isDown = true;
    this.observer.endAll(true);
    this.model.exit();
    if (holdsCalls) this.link.hold();
    else this.#closeServer();
  }

  /**
   * Begins its next life under the same id, which announces itself later; that
   * first heartbeat may get through although the link is cut.
   */
  begin(silentMs: number, isHeard: boolean): void {
    if (this.#isClosed) return;
    this.observer.isDown = false;
    this.restart();
    this.#silence = setTimeout(() => {
      this.#silence = undefined;
      void this.#sendHeartbeat(isHeard || this.link.cut === undefined);
    }, silentMs);
    if (this.link.isHolding) this.link.release();
    else this.#server.listen(this.port, this.host);
  }

  /** Sends a heartbeat of the present life, which arrives later. */
  async sendLateHeartbeat(delayMs: number): Promise<void> {
    const notices = this.#notices;
    const state = this.#state;
    await sleep(delayMs);
    if (this.#isClosed || this.link.cut !== undefined) return;
    await notices.sendHeartbeat(state);
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
    this.observer.update();
    this.observer.isDown = true;
    this.observer.endAll(false);
    this.model.running.clear();
    this.#closeServer();
    return isConfirmed;
  }

  /** Another runner begins at the address of one that has left. */
  arrive(): void {
    if (this.#isClosed) return;
    this.#lifeCount += 1;
    this.observer.model = this.#createModel();
    this.observer.beginLife();
    this.#isDraining = false;
    this.observer.isDown = false;
    this.#server.listen(this.port, this.host);
    void this.#sendHeartbeat();
  }

  #createModel(): RunnerModel {
    const instance = `i-${this.name}-${this.#lifeCount}`;
    return new RunnerModel(systemClock, this.clockRate, instance);
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

  /** Simulates a crash and a restart under the same id. */
  restart(): void {
    this.observer.endAll(true);
    this.model.restart();
    this.observer.beginLife();
    this.#notices = new RunnerNotices(this.controlAddress);
  }

  close(): void {
    this.#isClosed = true;
    for (const timer of this.#timers) clearInterval(timer);
    clearTimeout(this.#silence);
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
    return {
      status: 200,
      body: {
        clockMs: answer.clockMs,
        born: this.observer.bornMs,
        ...listRuns(answer.value, this.observer),
      },
    };
  }

  #reply(answer: RunnerResult<unknown>) {
    this.observer.update();
    const { clockMs } = answer;
    const body = { clockMs, born: this.observer.bornMs };
    if (answer.isOk) return { status: 200, body };
    if (clockMs === undefined) return "hang up" as const;
    const reason = answer.failure === "fenced" ? "fence" : answer.failure;
    return { status: 409, body: { ...body, reason } };
  }

  get #state() {
    return {
      instance: this.model.instance,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      capacityMilli,
      bornMs: this.observer.bornMs,
      isDraining: this.#isDraining,
    };
  }

  async #sendHeartbeat(isHeard = this.link.cut === undefined) {
    const isSilent = this.observer.isDown || this.#silence !== undefined;
    if (isSilent || !isHeard) return false;
    return await this.#notices.sendHeartbeat(this.#state);
  }
}
