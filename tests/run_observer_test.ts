import { expect } from "chai";
import type { JobId } from "../src/core/jobs/job_id.ts";
import { formatTaskName } from "../src/core/jobs/format_task_name.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { RunnerModel } from "../stand_ins/runner/runner_model.ts";
import { GuaranteeChecker } from "./soak/guarantee_checker.ts";
import { RunObserver } from "./soak/run_observer.ts";

const job = "00000000000000aa" as JobId;
const task = formatTaskName({ job, occurrence: 0, step: 0, index: 0 });
const clockRate = 0.98;
const leaseMs = 6_000;
/** The lease by the true time, and by the runner's slow clock. */
const trueEndMs = leaseMs;
const runnersEndMs = Math.ceil(leaseMs / clockRate);

class Fixture {
  readonly clock = new VirtualClock();
  readonly checker = new GuaranteeChecker();
  readonly observers = ["runner-0", "runner-1"].map((name) =>
    new RunObserver(
      name,
      this.checker,
      new RunnerModel(this.clock, clockRate, name),
    )
  );

  constructor() {
    this.checker.settle = () => this.observers[0]!.settleLease();
    this.checker.jobs.set(job, {
      id: job,
      payload: "p",
      steps: [{ count: 1, after: [], cpuMilli: 100, ms: Infinity }],
      crashesRunners: false,
      isAccepted: true,
      isRefused: false,
      isCancelled: false,
      hasRun: false,
      state: "none",
    });
  }

  async start(runner: number, run: number): Promise<void> {
    const observer = this.observers[runner]!;
    const { model } = observer;
    const leaseEndClockMs = model.clockMs + 2 * leaseMs;
    const call = { task, run, spec: "p", deadlineMs: leaseEndClockMs };
    observer.takeCall("start", call);
    const started = model.start({
      instance: model.instance,
      epoch: 1,
      task,
      run,
      payload: "p",
      ticket: undefined,
      checkpoint: "",
      leaseEndClockMs,
    });
    await this.clock.advance(10);
    await started;
    observer.update();
  }

  /** The runner is back under its id. */
  restart(runner: number): void {
    const { model } = this.observers[runner]!;
    this.observers[runner]!.endAll(true);
    model.restart();
    this.observers[runner]!.beginLife();
  }
}

describe("the soak's check of runs at once", () => {
  // Guards against runs that count as gone before the runner has ended them.
  const cases = [
    { name: "within the lease", afterMs: 1_000, isBroken: true },
    {
      name: "when only a faster clock has passed the lease",
      afterMs: (trueEndMs + runnersEndMs) / 2,
      isBroken: true,
    },
    {
      name: "when the runner's clock has passed the lease",
      afterMs: runnersEndMs + 10,
      isBroken: false,
    },
    {
      name: "when the run's life has ended",
      afterMs: 1_000,
      restarts: true,
      isBroken: false,
    },
  ];
  for (const { name, afterMs, restarts, isBroken } of cases) {
    it(`${isBroken ? "finds" : "does not find"} two ${name}`, async () => {
      const fixture = new Fixture();
      await fixture.start(0, 1);
      // Nothing gets through to it any more.
      await fixture.clock.advance(afterMs);
      if (restarts) fixture.restart(0);
      await fixture.start(1, 2);
      const expected = isBroken
        ? [`duplicate run: ${task} on runner-1 and runner-0`]
        : [];
      expect(fixture.checker.violations).to.eql(expected);
    });
  }
});
