import type { TaskName } from "../../src/core/jobs/task_name.ts";
import type { HistoryWorld } from "./history_world.ts";
import { ServiceChecker } from "./service_checker.ts";
import type { ServiceTask } from "./service_task.ts";

const checkIntervalMs = 100;

/** Watches the services of a history, and what disturbs them. */
export class ServiceWatch {
  readonly #checker = new ServiceChecker();

  constructor(readonly world: HistoryWorld) {}

  /** Notes a fault. */
  disturb(): void {
    this.#checker.disturb(this.world.clock.nowMs());
  }

  async run(): Promise<never> {
    const { checker, clock, workers } = this.world;
    const nodes = workers.map(({ node }) => node);
    while (true) {
      await clock.sleep(checkIntervalMs);
      if (this.#isDisturbed) this.disturb();
      const waiting = this.#checker.check(
        checker.serviceTasks(),
        nodes,
        (node, task) => this.#hasRoom(node, task),
        clock.nowMs(),
      );
      for (const { name, waitMs } of waiting) this.#fail(name, waitMs);
      checker.checks += this.#checker.takeChecks();
    }
  }

  #fail(name: TaskName, waitMs: number): void {
    const { checker, newestKeeper } = this.world;
    const known = newestKeeper.describe(name);
    checker.violations.push(`WAITS: ${name} for ${waitMs} ms; ${known}`);
  }

  /** Whether a process, a link or the store is impaired. */
  get #isDisturbed(): boolean {
    const { clock, keepers, losesAnswersUntilMs, newestKeeper, workers } =
      this.world;
    return clock.nowMs() < losesAnswersUntilMs ||
      newestKeeper.options.clock.isDead ||
      keepers.some(({ options }) =>
        options.store.isCut || options.clock.pausedMs > 0
      ) ||
      workers.some(({ isFaulty }) => isFaulty);
  }

  #hasRoom(node: string, task: ServiceTask): boolean {
    const { checker, workers } = this.world;
    const worker = workers.find((each) => each.node === node)!;
    const { hasLeft, isDraining, isFaulty, sidecar, zone } = worker;
    if (hasLeft || isDraining || isFaulty || sidecar === undefined) {
      return false;
    }
    return !checker.isEvacuated(zone) && checker.hasRoom(node, task);
  }
}
