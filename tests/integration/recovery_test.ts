import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import { audit } from "../../demo/audit.ts";
import { Caller } from "../../demo/caller.ts";
import { Tally } from "../../demo/tally.ts";
import { Watcher } from "../../demo/watcher.ts";
import type { Fleet } from "../../stand_ins/fleet/fleet.ts";
import { postAdmin } from "../../stand_ins/fleet/post_admin.ts";
import { startSmallFleet } from "./start_small_fleet.ts";
import { waitFor } from "./wait_for.ts";

interface Case {
  readonly name: string;
  readonly causeFailure: (fleet: Fleet) => Promise<void>;
}

/** Index of the host whose sidecar is the keeper, according to an entry. */
async function keeperIndex(fleet: Fleet): Promise<number> {
  const answer = await fetch(`${fleet.entryUrl()}/status`);
  const { processes } = await answer.json() as {
    processes: { id: string; keeper?: unknown }[];
  };
  const id = processes.find(({ keeper }) => keeper)?.id ?? "sidecar-1";
  return Number(id.split("-")[1]) - 1;
}

/** Disconnects all workers from the keeper for longer than a lease lasts. */
async function disconnectWorkers(
  fleet: Fleet,
  fault: "isCut" | "isHalfOpen",
): Promise<void> {
  const setFault = async (isOn: boolean): Promise<void> => {
    for (const { workerProxyAdminPort: adminPort } of fleet.hosts) {
      await postAdmin(adminPort ?? 0, { [fault]: isOn });
    }
  };
  await setFault(true);
  await delay(9_000);
  await setFault(false);
}

const cases: readonly Case[] = [
  {
    name: "the keeper is killed",
    causeFailure: async (fleet) => {
      await fleet.hosts[await keeperIndex(fleet)]?.sidecar.kill();
    },
  },
  {
    name: "the keeper is killed and restarted",
    causeFailure: async (fleet) => {
      const keeper = fleet.hosts[await keeperIndex(fleet)]?.sidecar;
      await keeper?.kill();
      await keeper?.start();
    },
  },
  {
    name: "the keeper is paused for longer than its leases last",
    causeFailure: async (fleet) => {
      const keeper = fleet.hosts[await keeperIndex(fleet)]?.sidecar;
      keeper?.signal("SIGSTOP");
      await delay(12_000);
      keeper?.signal("SIGCONT");
    },
  },
  {
    name: "a worker is paused for longer than its leases last",
    causeFailure: async (fleet) => {
      fleet.hosts[0]?.worker.signal("SIGSTOP");
      await delay(10_000);
      fleet.hosts[0]?.worker.signal("SIGCONT");
    },
  },
  {
    name: "a worker is killed and restarted",
    causeFailure: async (fleet) => {
      await fleet.hosts[1]?.worker.kill();
      await fleet.hosts[1]?.worker.start();
    },
  },
  {
    name: "the log is down for a while",
    causeFailure: async (fleet) => {
      await fleet.setLogFaults({ isDown: true });
      await delay(9_000);
      await fleet.setLogFaults({ isDown: false });
    },
  },
  {
    name: "answers of the log are lost after the append",
    causeFailure: async (fleet) => {
      for (let n = 0; n < 5; n++) {
        await fleet.setLogFaults({ answersToLose: 2 });
        await delay(400);
      }
    },
  },
  {
    name: "the workers are disconnected from the keeper",
    causeFailure: (fleet) => disconnectWorkers(fleet, "isCut"),
  },
  {
    name: "the workers' connections are half-open",
    causeFailure: (fleet) => disconnectWorkers(fleet, "isHalfOpen"),
  },
];

/** Queries the workers themselves for tasks that run on two of them. */
async function tasksOnTwoWorkers(fleet: Fleet): Promise<string[]> {
  const workerOf = new Map<string, string>();
  const twice: string[] = [];
  for (const { worker, workerPort } of fleet.hosts) {
    const answer = await fetch(`http://127.0.0.1:${workerPort}/truth`, {
      signal: AbortSignal.timeout(500),
    }).catch(() => undefined);
    if (answer === undefined) continue;
    const { running } = await answer.json() as { running: { task: string }[] };
    for (const { task } of running) {
      if (workerOf.has(task)) {
        twice.push(`${task} ${workerOf.get(task)} ${worker.name}`);
      }
      workerOf.set(task, worker.name);
    }
  }
  return twice;
}

describe("jobs during failures, with real processes", function () {
  this.timeout(120_000);
  for (const { name, causeFailure } of cases) {
    it(`no job is lost, no task runs twice: ${name}`, async () => {
      const fleet = await startSmallFleet({
        proxies: { workers: true },
        runners: 4,
      });
      try {
        const entries = [fleet.entryUrl(0), fleet.entryUrl(1)];
        const caller = new Caller(
          entries,
          "yaba-club",
          "menu",
          new Tally(),
          "r",
        );
        const accepted: string[] = [];
        for (let n = 0; n < 6; n++) {
          const id = await caller.submitJob("weekly-menu", {
            actualRunMs: 6_000,
          });
          if (id !== undefined) accepted.push(id);
        }
        expect(accepted).to.have.length(6);
        await delay(1_500);
        let isOver = false;
        const twice: string[] = [];
        const polling = (async () => {
          while (!isOver) {
            twice.push(...await tasksOnTwoWorkers(fleet));
            await delay(100);
          }
        })();
        await causeFailure(fleet);
        await waitFor("all jobs to finish", async () => {
          return (await audit(fleet, accepted)).lost.length === 0;
        });
        isOver = true;
        await polling;
        const found = await audit(fleet, accepted);
        expect(found.lost).to.eql([]);
        expect(found.finishedTwice).to.eql([]);
        expect(twice).to.eql([]);
      } finally {
        await fleet.stop();
      }
    });
  }
});

describe("a planned stop, with real processes", function () {
  this.timeout(90_000);

  it("aborts no request, moves watches and exits with code 0", async () => {
    const fleet = await startSmallFleet();
    try {
      const tally = new Tally();
      const caller = new Caller(
        [fleet.entryUrl(0)],
        "yaba-club",
        "menu",
        tally,
        "d",
      );
      const watcher = new Watcher([fleet.entryUrl(0)], "menu", "kitchen");
      const watching = watcher.run();
      const calls: Promise<void>[] = [];
      const timer = setInterval(() => {
        calls.push(
          caller.sendCheck({ workMs: 80 }),
          caller.sendOrder(3, { workMs: 80 }),
        );
      }, 20);
      await delay(500);
      const sidecar = fleet.hosts[0]?.sidecar;
      sidecar?.signal("SIGTERM");
      expect(await sidecar?.waitForExit()).to.equal(0);
      await delay(500);
      clearInterval(timer);
      await Promise.all(calls);
      const eventsBefore = watcher.eventCount;
      await waitFor("the watch to continue", async () => {
        await delay(0);
        return watcher.eventCount > eventsBefore;
      });
      watcher.stop();
      await watching;
      expect(watcher.positionErrors).to.equal(0);
      expect(caller.wrongAnswers).to.eql([]);
      const { ran } = await audit(fleet, []);
      const twice = [...caller.orderMarkers].filter((marker) =>
        (ran.get(marker) ?? 0) > 1
      );
      expect(twice).to.eql([]);
      const aborted = [...tally.refusals.keys()].filter((key) =>
        /timeout|truncated|no answer|internal/.test(key)
      );
      expect(aborted).to.eql([]);
    } finally {
      await fleet.stop();
    }
  });

  it("exits at once on a second signal, with code 7", async () => {
    const fleet = await startSmallFleet({ runners: 1, entries: 1 });
    try {
      const caller = new Caller(
        [fleet.entryUrl()],
        "yaba-club",
        "menu",
        new Tally(),
        "s",
      );
      const call = caller.sendCheck({ workMs: 20_000 });
      await delay(300);
      const sidecar = fleet.hosts[0]?.sidecar;
      sidecar?.signal("SIGTERM");
      await delay(300);
      sidecar?.signal("SIGTERM");
      expect(await sidecar?.waitForExit()).to.equal(7);
      await call;
    } finally {
      await fleet.stop();
    }
  });
});

describe("an entry that is killed, with real processes", function () {
  this.timeout(60_000);

  it("does not make an order run twice; retries are answered", async () => {
    const fleet = await startSmallFleet();
    try {
      const tally = new Tally();
      const entries = [fleet.entryUrl(0), fleet.entryUrl(1)];
      const caller = new Caller(entries, "yaba-club", "menu", tally, "e");
      const orders = Array.from(
        { length: 20 },
        () => caller.sendOrder(4, { workMs: 600 }),
      );
      await delay(300);
      await fleet.entries[0]?.kill();
      await Promise.all(orders);
      const { ran } = await audit(fleet, []);
      const counts = [...caller.orderMarkers].map((marker) =>
        ran.get(marker) ?? 0
      );
      expect(Math.max(...counts)).to.equal(1);
      expect(tally.refusals.get("order no answer")).to.be.greaterThan(0);
      expect(tally.rows.get("order")?.ok).to.equal(caller.orderMarkers.size);
    } finally {
      await fleet.stop();
    }
  });
});

describe("a log outage, with real processes", function () {
  this.timeout(90_000);

  it("checks run, submissions are refused as not run, a new entry serves", async () => {
    const fleet = await startSmallFleet();
    try {
      await fleet.setLogFaults({ isDown: true });
      const caller = new Caller(
        [fleet.entryUrl(0)],
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
      await waitFor("the restarted entry to serve", async () => {
        const answer = await fetch(`${fleet.entryUrl(1)}/services/menu/check`, {
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
