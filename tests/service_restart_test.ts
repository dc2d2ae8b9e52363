import { expect } from "chai";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import type { HistoryWorker } from "../scenarios/cell_histories/history_worker.ts";
import { HistoryWorld } from "../scenarios/cell_histories/history_world.ts";
import { killPoints } from "../scenarios/cell_histories/kill_points.ts";
import { plainStep } from "../stand_ins/plain_step.ts";

/** The users' bounds for a task that lasts: 6 s after its last run, 3 s more. */
const maxWaitMs = 9_000;
const leadMs = 6_000;
const tailMs = 20_000;
const pollMs = 10;
const evacuateMs = 5_000;
/** No entry is there for so long, as after a loss of all of them. */
const killedForMs = 2_500;
const seeds = [1, 2, 3];
const task = "j0.0.0.0" as TaskName;

type KillPoint = (typeof killPoints)[number];

const fromEnd = killPoints.slice(killPoints.indexOf("after the end is listed"));
const fromRow = killPoints.slice(killPoints.indexOf("after the end is stored"));

/** Leaves when told to stop, before the stop has taken effect. */
function leaveDuringStop(worker: HistoryWorker): void {
  worker.runner.stopMs = () => leadMs;
  worker.leave(500, tailMs);
}

/** How a run ends, and the points that it passes until the next one starts. */
const ends: readonly {
  readonly name: string;
  readonly points: readonly KillPoint[];
  readonly apply: (worker: HistoryWorker, world: HistoryWorld) => void;
}[] = [
  {
    name: "its worker drains",
    points: killPoints,
    apply: (worker) => worker.drain(),
  },
  {
    name: "its worker drains and leaves",
    points: killPoints,
    apply: (worker) => worker.leave(1_500, tailMs),
  },
  {
    name: "its worker leaves before the stop has ended the run",
    points: killPoints.filter((point) => point !== "after the end is reported"),
    apply: leaveDuringStop,
  },
  {
    name: "its worker leaves at once",
    points: fromEnd.filter((point) => point !== "after the end is reported"),
    apply: (worker) => worker.leave(0, tailMs),
  },
  {
    name: "its worker leaves at once and soon comes back with another id",
    points: fromEnd.filter((point) => point !== "after the end is reported"),
    apply: (worker) => worker.leave(0, 2_000),
  },
  {
    name: "its worker leaves, and another sidecar is there before a runner",
    points: fromEnd.filter((point) => point !== "after the end is reported"),
    apply: (worker, { clock }) => {
      worker.leave(0, tailMs);
      void clock.sleep(1_500).then(() => worker.startSidecar());
    },
  },
  {
    name: "its worker leaves while its sidecar is replaced",
    points: fromEnd.filter((point) => point !== "after the end is reported"),
    apply: (worker, world) => {
      world.restartSidecar(worker, 200);
      worker.leave(0, tailMs);
    },
  },
  {
    name: "it fails by itself",
    points: fromEnd,
    apply: ({ runner }) => runner.end(task, "failed"),
  },
  {
    name: "its worker crashes and comes back with the same id",
    points: fromRow,
    apply: (worker) => worker.restartRunner(),
  },
  {
    name: "its worker drains and crashes",
    points: killPoints,
    apply: (worker, { clock }) => {
      worker.drain();
      void clock.sleep(1_500).then(() => worker.restartRunner());
    },
  },
  {
    name: "its data centre is evacuated",
    points: killPoints,
    apply: ({ zone }, world) => world.evacuate(zone),
  },
  {
    name: "its worker shrinks",
    points: killPoints,
    apply: (worker) => worker.resize(500),
  },
  {
    name: "its lease lapses since its worker is cut off",
    points: fromEnd,
    apply: (worker, world) => world.cutLinks(worker, 7_000),
  },
  {
    name: "its worker drains and does not answer the stop at first",
    points: killPoints,
    apply: (worker) => {
      worker.runner.faults.push("lost", "ignored", "late");
      worker.drain();
    },
  },
  {
    name:
      "its worker drains and the next one does not answer the start at first",
    points: killPoints,
    apply: (worker, { workers }) => {
      for (const { runner } of workers) {
        if (runner !== worker.runner) runner.faults.push("ignored", "lost");
      }
      worker.drain();
    },
  },
  {
    name: "its worker drains and the connections to the sidecars are reset",
    points: killPoints,
    apply: (worker, world) => {
      worker.drain();
      void world.clock.sleep(500).then(() => {
        for (const each of world.workers) world.resetLinks(each);
      });
    },
  },
  {
    name: "its worker drains and answers of the store are lost",
    points: killPoints,
    apply: (worker, world) => {
      world.losesAnswersUntilMs = world.clock.nowMs() + 2_000;
      worker.drain();
    },
  },
  {
    name: "its worker drains and its sidecar is replaced",
    points: killPoints,
    apply: (worker, world) => {
      worker.drain();
      void world.clock.sleep(600).then(() => world.restartSidecar(worker, 200));
    },
  },
];

/** Returns for how long the task did not run, in one piece. */
async function play(
  end: (typeof ends)[number],
  point: KillPoint,
  seed: number,
): Promise<{ waitMs: number; world: HistoryWorld }> {
  const world = new HistoryWorld(seed, evacuateMs, true);
  await world.clock.advance(leadMs / 2);
  const service = { count: 2, isService: true, mostPerWorker: 1 };
  world.submit([plainStep(service)]);
  await world.clock.advance(leadMs);
  const worker = world.workers.find(({ runner }) => runner.running.has(task))!;
  world.killedForMs = killedForMs;
  world.killSwitch.armed = point;
  end.apply(worker, world);
  let waitMs = 0;
  let idleMs = 0;
  for (let passedMs = 0; passedMs < tailMs; passedMs += pollMs) {
    await world.clock.advance(pollMs);
    const known = [...world.checker.serviceTasks()]
      .find(({ name }) => name === task);
    idleMs = known?.isRunning ? 0 : idleMs + pollMs;
    waitMs = Math.max(waitMs, idleMs);
  }
  return { waitMs, world };
}

// Guards against services that wait for seconds after a keeper was killed.
describe("a task of a service runs again soon after its run has ended", () => {
  for (const end of ends) {
    for (const point of end.points) {
      it(`${end.name}; the keeper is killed ${point}`, async () => {
        for (const seed of seeds) {
          const { waitMs, world } = await play(end, point, seed);
          const { checker, killSwitch, trace } = world;
          const name = `seed ${seed}\n${trace.slice(-30).join("\n")}`;
          expect(killSwitch.armed, name).to.equal(undefined);
          expect(checker.violations, name).to.eql([]);
          expect(waitMs, name).to.be.within(pollMs, maxWaitMs);
        }
      });
    }
  }
});
