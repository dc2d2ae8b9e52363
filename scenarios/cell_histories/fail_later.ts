import type { Clock } from "../../src/core/clock/clock.ts";
import type { TaskName } from "../../src/core/jobs/task_name.ts";
import type { RunnerModel } from "../../stand_ins/runner/runner_model.ts";
import type { SeededRandom } from "../../stand_ins/seeded_random.ts";

/** How long the runs of a service that fails by itself last. */
const minRunMs = 1_000;
const maxRunMs = 8_000;

/** Lets a run fail after a while, unless it has ended before. */
export async function failLater(
  runner: RunnerModel,
  run: { readonly task: TaskName },
  world: Clock,
  random: SeededRandom,
): Promise<void> {
  await world.sleep(minRunMs + random.next() * (maxRunMs - minRunMs));
  if (runner.running.get(run.task) === run) runner.end(run.task, "failed");
}
