import { Logger } from "../src/adapters/logger.ts";
import type { StartCommand } from "../src/core/cell/start_command.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import { Gate } from "../src/gate/gate.ts";
import type { PeerMessage } from "../src/link/peer_message.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { RunnerModel } from "../stand_ins/runner/runner_model.ts";

const bytesPerMb = 1_048_576;

/** A gate with a model of its runner and a keeper that answers its reports. */
export class GateFixture {
  static readonly maxHoldMs = 6_000;
  readonly clock = new VirtualClock();
  readonly runner: RunnerModel;
  gate: Gate;
  readonly sent: PeerMessage[] = [];
  /** Whether the keeper renews the lease on each report. */
  isRenewing = true;

  /** How old the keeper says that its read of the operator's stream is. */
  operatorAgeMs: number | undefined;
  #stoppedReadingAtMs: number | undefined;

  constructor(
    rate = 1,
    readonly options: { readonly evacuateMs?: number | undefined } = {},
    readonly log = new Logger("silent", {}),
  ) {
    this.runner = new RunnerModel(this.clock, rate);
    this.gate = this.#newGate();
  }

  async start(): Promise<void> {
    this.#connect();
    await this.clock.advance(1_500);
  }

  /** Replaces the gate by that of a new process. */
  restartSidecar(hasKeeper = true): void {
    this.gate.stop();
    this.gate = this.#newGate();
    if (hasKeeper) this.#connect();
    else void this.gate.run();
  }

  /** Lets the keeper's read grow older from now on. */
  stopReading(): void {
    this.#stoppedReadingAtMs = this.clock.nowMs();
  }

  /** Replaces the keeper's connection. */
  reconnect(): void {
    this.gate.detachKeeper(this.#send);
    this.gate.attachKeeper(1, this.#send);
  }

  /** Closes the keeper's connection. */
  detach(): void {
    this.gate.detachKeeper(this.#send);
  }

  sendHeartbeat(
    sequence: number,
    isDraining = false,
    cpuMilli = 4_000,
    changed: { readonly bornMs?: number; readonly instance?: string } = {},
  ): void {
    const { instance, bornMs } = this.runner;
    this.gate.handleHeartbeat({
      instance,
      bornMs,
      pool: "pool",
      zone: "z",
      rack: "r1",
      labels: ["a", "r1"],
      capacity: {
        cpuMilli,
        memoryBytes: 1_000 * bytesPerMb,
        accelerators: 0,
      },
      isDraining,
      sequence,
      ...changed,
    });
  }

  startCommand(change: Partial<StartCommand> = {}): StartCommand {
    const { instance, bornMs } = this.runner;
    return {
      kind: "start",
      task: "j.0.0.0" as TaskName,
      run: 1,
      life: `${instance}@${bornMs}` as RunnerLife,
      payload: "p",
      checkpoint: "",
      ticket: undefined,
      resources: {
        cpuMilli: 1_000,
        memoryBytes: 100 * bytesPerMb,
        accelerators: 0,
      },
      isService: false,
      isFiller: false,
      image: undefined,
      targetLatencyMs: 0,
      ...change,
    };
  }

  sendStarts(...starts: StartCommand[]): void {
    this.gate.handleMessage({ kind: "orders", starts, stops: [] });
  }

  sendStop(command: StartCommand): void {
    this.gate.handleMessage({ kind: "orders", starts: [], stops: [command] });
  }

  refusals(): string[] {
    return this.sent.flatMap((message) =>
      message.kind === "refused"
        ? [`${message.task}#${message.run} ${message.reason}`]
        : []
    );
  }

  /** The newest report. */
  lastReport():
    | Extract<PeerMessage, { kind: "report" }>["report"]
    | undefined {
    const reports = this.sent.flatMap((message) =>
      message.kind === "report" ? [message.report] : []
    );
    return reports.at(-1);
  }

  #newGate(): Gate {
    return new Gate(
      this.runner,
      GateFixture.maxHoldMs,
      this.clock,
      this.log,
      this.options.evacuateMs,
    );
  }

  #connect(): void {
    this.sendHeartbeat(1);
    this.gate.attachKeeper(1, this.#send);
    void this.gate.run();
  }

  readonly #send = (message: PeerMessage) => this.#onMessage(message);

  #onMessage(message: PeerMessage): void {
    this.sent.push(message);
    if (message.kind !== "report" || !this.isRenewing) return;
    const { number: report } = message;
    const renewal = { kind: "renew", report, pressures: [] } as const;
    if (this.operatorAgeMs === undefined) this.gate.handleMessage(renewal);
    else {
      const sinceMs = this.clock.nowMs() -
        (this.#stoppedReadingAtMs ?? this.clock.nowMs());
      const operatorAgeMs = this.operatorAgeMs + sinceMs;
      this.gate.handleMessage({ ...renewal, operatorAgeMs });
    }
  }
}
