import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import { audit } from "../../demo/audit.ts";
import { Caller } from "../../demo/caller.ts";
import { Tally } from "../../demo/tally.ts";
import { Watcher } from "../../demo/watcher.ts";
import type { Fleet } from "../../stand_ins/fleet/fleet.ts";
import { postAdmin } from "../../stand_ins/fleet/post_admin.ts";
import { smallFleet } from "./small_fleet.ts";
import { waitFor } from "./wait_for.ts";

interface Case {
  readonly name: string;
  readonly disturb: (fleet: Fleet) => Promise<void>;
}

async function keeperOf(fleet: Fleet): Promise<number> {
  const answer = await fetch(`${fleet.callers()}/status`);
  const { processes } = await answer.json() as {
    processes: { id: string; keeper?: unknown }[];
  };
  const id = processes.find(({ keeper }) => keeper)?.id ?? "sidecar-1";
  return Number(id.split("-")[1]) - 1;
}

async function cutWorkers(
  fleet: Fleet,
  fault: "isCut" | "isHalfOpen",
): Promise<void> {
  const set = async (isOn: boolean): Promise<void> => {
    for (const { workerProxyAdmin } of fleet.slots) {
      await postAdmin(workerProxyAdmin ?? 0, { [fault]: isOn });
    }
  };
  await set(true);
  await delay(9_000);
  await set(false);
}

const cases: readonly Case[] = [
  {
    name: "the keeper is killed",
    disturb: async (fleet) => {
      await fleet.slots[await keeperOf(fleet)]?.sidecar.kill();
    },
  },
  {
    name: "the keeper is killed and started anew",
    disturb: async (fleet) => {
      const keeper = fleet.slots[await keeperOf(fleet)]?.sidecar;
      await keeper?.kill();
      await keeper?.start();
    },
  },
  {
    name: "the keeper sleeps past its leases and wakes",
    disturb: async (fleet) => {
      const keeper = fleet.slots[await keeperOf(fleet)]?.sidecar;
      keeper?.signal("SIGSTOP");
      await delay(12_000);
      keeper?.signal("SIGCONT");
    },
  },
  {
    name: "a worker sleeps past its leases and wakes",
    disturb: async (fleet) => {
      fleet.slots[0]?.worker.signal("SIGSTOP");
      await delay(10_000);
      fleet.slots[0]?.worker.signal("SIGCONT");
    },
  },
  {
    name: "a worker is killed and started anew",
    disturb: async (fleet) => {
      await fleet.slots[1]?.worker.kill();
      await fleet.slots[1]?.worker.start();
    },
  },
  {
    name: "the log is down for a while",
    disturb: async (fleet) => {
      await fleet.setLog({ isDown: true });
      await delay(9_000);
      await fleet.setLog({ isDown: false });
    },
  },
  {
    name: "answers of the log are lost after the append",
    disturb: async (fleet) => {
      for (let n = 0; n < 5; n++) {
        await fleet.setLog({ answersToLose: 2 });
        await delay(400);
      }
    },
  },
  {
    name: "the workers are cut off from the keeper",
    disturb: (fleet) => cutWorkers(fleet, "isCut"),
  },
  {
    name: "the workers' connections stay open and carry nothing",
    disturb: (fleet) => cutWorkers(fleet, "isHalfOpen"),
  },
];

/** Looks at the workers themselves: does a task run on two of them? */
async function runsTwice(fleet: Fleet): Promise<string[]> {
  const seen = new Map<string, string>();
  const twice: string[] = [];
  for (const { worker, workerPort } of fleet.slots) {
    const answer = await fetch(`http://127.0.0.1:${workerPort}/truth`, {
      signal: AbortSignal.timeout(500),
    }).catch(() => undefined);
    if (answer === undefined) continue;
    const { running } = await answer.json() as { running: { task: string }[] };
    for (const { task } of running) {
      if (seen.has(task)) {
        twice.push(`${task} ${seen.get(task)} ${worker.name}`);
      }
      seen.set(task, worker.name);
    }
  }
  return twice;
}

describe("plans through failures, with real processes", function () {
  this.timeout(120_000);
  for (const { name, disturb } of cases) {
    it(`none is lost or doubled: ${name}`, async () => {
      const fleet = await smallFleet({
        proxies: { workers: true },
        runners: 4,
      });
      try {
        const entries = [fleet.callers(0), fleet.callers(1)];
        const caller = new Caller(
          entries,
          "yaba-club",
          "menu",
          new Tally(),
          "r",
        );
        const accepted: string[] = [];
        for (let n = 0; n < 6; n++) {
          const id = await caller.submit("weekly-menu", { actualRunMs: 6_000 });
          if (id !== undefined) accepted.push(id);
        }
        expect(accepted).to.have.length(6);
        await delay(1_500);
        let isOver = false;
        const twice: string[] = [];
        const watching = (async () => {
          while (!isOver) {
            twice.push(...await runsTwice(fleet));
            await delay(100);
          }
        })();
        await disturb(fleet);
        await waitFor("all plans to finish", async () => {
          return (await audit(fleet, accepted)).lost.length === 0;
        });
        isOver = true;
        await watching;
        const found = await audit(fleet, accepted);
        expect(found.lost).to.eql([]);
        expect(found.doubled).to.eql([]);
        expect(twice).to.eql([]);
      } finally {
        await fleet.stop();
      }
    });
  }
});

describe("a planned stop, with real processes", function () {
  this.timeout(90_000);

  it("cuts no request, moves watches, and ends with code 0", async () => {
    const fleet = await smallFleet();
    try {
      const tally = new Tally();
      const caller = new Caller(
        [fleet.callers(0)],
        "yaba-club",
        "menu",
        tally,
        "d",
      );
      const watcher = new Watcher([fleet.callers(0)], "menu", "kitchen");
      const watching = watcher.run();
      const calls: Promise<void>[] = [];
      const timer = setInterval(() => {
        calls.push(
          caller.check({ workMs: 80 }),
          caller.order(3, { workMs: 80 }),
        );
      }, 20);
      await delay(500);
      const leaving = fleet.slots[0]?.sidecar;
      leaving?.signal("SIGTERM");
      expect(await leaving?.exited()).to.equal(0);
      await delay(500);
      clearInterval(timer);
      await Promise.all(calls);
      const before = watcher.events;
      await waitFor("the watch to go on", async () => {
        await delay(0);
        return watcher.events > before;
      });
      watcher.stop();
      await watching;
      expect(watcher.faults).to.equal(0);
      expect(caller.wrong).to.eql([]);
      const { ran } = await audit(fleet, []);
      const twice = [...caller.orders].filter((m) => (ran.get(m) ?? 0) > 1);
      expect(twice).to.eql([]);
      const cut = [...tally.refusals.keys()].filter((key) =>
        /timeout|truncated|no answer|internal/.test(key)
      );
      expect(cut).to.eql([]);
    } finally {
      await fleet.stop();
    }
  });

  it("a second signal ends it at once, with its own code", async () => {
    const fleet = await smallFleet({ runners: 1, entries: 1 });
    try {
      const caller = new Caller(
        [fleet.callers()],
        "yaba-club",
        "menu",
        new Tally(),
        "s",
      );
      const call = caller.check({ workMs: 20_000 });
      await delay(300);
      const leaving = fleet.slots[0]?.sidecar;
      leaving?.signal("SIGTERM");
      await delay(300);
      leaving?.signal("SIGTERM");
      expect(await leaving?.exited()).to.equal(7);
      await call;
    } finally {
      await fleet.stop();
    }
  });
});

describe("an entry that dies, with real processes", function () {
  this.timeout(60_000);

  it("leaves orders run once, and their repeats answered", async () => {
    const fleet = await smallFleet();
    try {
      const tally = new Tally();
      const entries = [fleet.callers(0), fleet.callers(1)];
      const caller = new Caller(entries, "yaba-club", "menu", tally, "e");
      const orders = Array.from(
        { length: 20 },
        () => caller.order(4, { workMs: 600 }),
      );
      await delay(300);
      await fleet.entries[0]?.kill();
      await Promise.all(orders);
      const { ran } = await audit(fleet, []);
      const counts = [...caller.orders].map((marker) => ran.get(marker) ?? 0);
      expect(Math.max(...counts)).to.equal(1);
      expect(tally.refusals.get("order no answer")).to.be.greaterThan(0);
      expect(tally.rows.get("order")?.ok).to.equal(caller.orders.size);
    } finally {
      await fleet.stop();
    }
  });
});

describe("a log outage, with real processes", function () {
  this.timeout(90_000);

  it("checks go on, submissions are refused truthfully, a new process is current", async () => {
    const fleet = await smallFleet();
    try {
      await fleet.setLog({ isDown: true });
      const caller = new Caller(
        [fleet.callers(0)],
        "yaba-club",
        "menu",
        new Tally(),
        "l",
      );
      const check = await caller.post("/services/menu/check", { marker: "x" });
      expect(check.status).to.equal(200);
      const job = await caller.post("/jobs", { template: "weekly-menu" });
      expect(job.body.error).to.equal("log_unavailable");
      expect(job.body.ran).to.equal("no");
      await fleet.entries[1]?.kill();
      await fleet.entries[1]?.start();
      await waitFor("the new entry to serve", async () => {
        const answer = await fetch(`${fleet.callers(1)}/services/menu/check`, {
          method: "POST",
          headers: { "x-member": "kitchen" },
          body: "{}",
        });
        return answer.status === 200;
      });
    } finally {
      await fleet.stop();
    }
  });
});
