import { expect } from "chai";
import type { HistoryWorker } from "../scenarios/cell_histories/history_worker.ts";
import { HistoryWorld } from "../scenarios/cell_histories/history_world.ts";
import { plainStep } from "../stand_ins/plain_step.ts";

const evacuateMs = 5_000;
const leadMs = 3_000;
const submitIntervalMs = 150;
const faultMs = 9_000;
/** A read that waits for a row when the fault begins has ended by then. */
const waitedMs = 1_300;
const afterMs = 2_000;
const seeds = [1, 2, 3, 4, 5, 6];

/** A fault around the request; it returns how it is ended. */
type Fault = (world: HistoryWorld, worker: HistoryWorker) => () => void;

const cutStore: Fault = ({ newestKeeper }) => {
  newestKeeper.options.store.isCut = true;
  return () => newestKeeper.options.store.isCut = false;
};

/** The store is reached for all else, so that claims are stored. */
const cutOperatorStream: Fault = ({ newestKeeper }) => {
  const { unreadable } = newestKeeper.options.store;
  unreadable.add("op");
  return () => unreadable.delete("op");
};

const loseCommands: Fault = (_world, { runner }) => {
  runner.faults.push(...Array.from({ length: 40 }, () => "ignored" as const));
  return () => runner.faults.length = 0;
};

/** The failure that each case guards against, and when it begins. */
const cases: readonly {
  readonly name: string;
  readonly fault: Fault;
  /** How long before the request the fault begins. */
  readonly leadMs?: number;
}[] = [
  { name: "without any fault", fault: () => () => {} },
  {
    name: "by a keeper that is cut off from the store",
    leadMs: waitedMs,
    fault: cutStore,
  },
  {
    name: "by a keeper that cannot read the operator's stream",
    leadMs: waitedMs,
    fault: cutOperatorStream,
  },
  {
    name: "by such a keeper of a command without an answer",
    leadMs: waitedMs,
    fault: (world, worker) => {
      const ends = [
        cutOperatorStream(world, worker),
        loseCommands(world, worker),
      ];
      void world.clock.sleep(5_600).then(ends[1]);
      return () => ends.forEach((end) => end());
    },
  },
  {
    name: "by a deposed keeper that is still connected",
    leadMs: waitedMs,
    fault: (world, worker) => {
      const end = cutStore(world, worker);
      world.isBlocked = (epoch, node) => epoch > 1 && node === worker.node;
      world.elect();
      return () => {
        end();
        world.isBlocked = () => false;
      };
    },
  },
  {
    name: "by a new keeper",
    fault: (world) => {
      world.killKeeper();
      return () => {};
    },
  },
  {
    name: "of a start that waited for a slow store",
    leadMs: 300,
    fault: ({ newestKeeper: { options: { store } }, clock }) => {
      store.isReadOnly = true;
      void clock.sleep(6_000).then(() => store.isReadOnly = false);
      return () => {};
    },
  },
  {
    name: "of a start that is repeated after its connection was lost",
    leadMs: 100,
    fault: (world, worker) => {
      world.cutLinks(worker, 5_500);
      return () => {};
    },
  },
  {
    name: "of a command without an answer",
    leadMs: 300,
    fault: loseCommands,
  },
  {
    name: "of a command without an answer, its keeper cut off",
    leadMs: 300,
    fault: (world, worker) => {
      const ends = [cutStore(world, worker), loseCommands(world, worker)];
      return () => ends.forEach((end) => end());
    },
  },
  {
    name: "of a command that is executed late, its keeper cut off",
    leadMs: 300,
    fault: (world, worker) => {
      const end = cutStore(world, worker);
      const { runner } = worker;
      runner.faults.push(...Array.from({ length: 40 }, () => "late" as const));
      void world.clock.sleep(5_600).then(() => runner.applyDelayed());
      return () => {
        end();
        runner.faults.length = 0;
      };
    },
  },
  {
    name: "by a keeper whose machine was suspended",
    leadMs: 200,
    fault: ({ newestKeeper: { options: { clock: process } }, clock }) => {
      process.suspend();
      void clock.sleep(6_000).then(() => process.resume());
      return () => {};
    },
  },
  {
    name: "by a keeper that was suspended and cannot read the store",
    leadMs: 200,
    fault: ({ newestKeeper: { options }, clock }) => {
      options.clock.suspend();
      void clock.sleep(6_000).then(() => {
        options.store.isCut = true;
        options.clock.resume();
      });
      return () => options.store.isCut = false;
    },
  },
];

async function submitFor(world: HistoryWorld, ms: number): Promise<void> {
  for (let passedMs = 0; passedMs < ms; passedMs += submitIntervalMs) {
    world.submit([plainStep({ expectedMs: 1_500 })]);
    await world.clock.advance(submitIntervalMs);
  }
}

function startsOn({ node }: HistoryWorker, { trace }: HistoryWorld): number[] {
  return trace.filter((line) => line.includes(` ${node} starts `))
    .map((line) => Number(line.split(" ")[0]));
}

describe("no run starts in an evacuated data centre after the bound", () => {
  for (const { name, fault, leadMs: faultLeadMs = 0 } of cases) {
    it(name, async () => {
      for (const seed of seeds) {
        const world = new HistoryWorld(seed, evacuateMs);
        const worker = world.workers[seed % 3]!;
        await world.clock.advance(1_500);
        await submitFor(world, leadMs);
        const end = fault(world, worker);
        await submitFor(world, faultLeadMs);
        const requestedAtMs = world.clock.nowMs();
        expect(startsOn(worker, world), `seed ${seed}`).not.to.eql([]);
        world.evacuate(worker.zone);
        await submitFor(world, faultMs);
        end();
        await submitFor(world, afterMs);
        expect(world.checker.violations, `seed ${seed}`).to.eql([]);
        if (name === "without any fault") {
          const late = startsOn(worker, world)
            .filter((atMs) => atMs > requestedAtMs + 1_000);
          expect(late, `seed ${seed}`).to.eql([]);
        }
        // Nothing is held or flagged for longer than the evacuation lasts.
        world.heal();
        const healedAtMs = world.clock.nowMs();
        await submitFor(world, 9_000);
        const again = startsOn(worker, world)
          .filter((atMs) => atMs > healedAtMs);
        expect(again, `seed ${seed}`).not.to.eql([]);
        expect(world.checker.violations, `seed ${seed}`).to.eql([]);
      }
    }).timeout(120_000);
  }
});
