import { readdirSync, readFileSync } from "node:fs";
import { expect } from "chai";
import { accepted } from "../src/core/fold/accepted.ts";
import type { RecordHandler } from "../src/core/fold/record_handler.ts";
import { recordHandlers } from "../src/core/fold/record_handlers.ts";
import { LeaseAuthority } from "../src/core/lease/lease_authority.ts";
import { LeaseTable } from "../src/core/lease/lease_table.ts";
import { Keeper } from "../src/core/keep/keeper.ts";
import { RoundUsage } from "../src/core/keep/round_usage.ts";
import { noResources } from "../src/core/resources/no_resources.ts";
import { runScenario } from "../scenarios/language/run_scenario.ts";
import { runHistory } from "../scenarios/histories/run_history.ts";

const maxHistories = 400;
const folder = "scenarios/files";

interface Mutation {
  readonly name: string;
  /** Matches the message of the check that must fail. */
  readonly expectedFailure: RegExp;
  readonly apply: () => () => void;
}

function patch<T extends object, K extends keyof T>(
  target: T,
  key: K,
  value: T[K],
): () => void {
  const before = target[key];
  target[key] = value;
  return () => {
    target[key] = before;
  };
}

const mutableJudges = recordHandlers as {
  -readonly [K in keyof typeof recordHandlers]: (typeof recordHandlers)[K];
};

/** Accepts any claim of a waiting task, whatever its capacity and attempt. */
const acceptAnyClaim: RecordHandler<"claimed"> = (ledger, record) => {
  const task = ledger.tasks.get(record.task);
  const worker = ledger.workers.get(record.worker);
  if (task === undefined || worker === undefined) return accepted;
  if (task.state !== "waiting") return accepted;
  ledger.transition(task, "CLAIM");
  task.attempt = record.attempt;
  task.worker = record.worker;
  task.reserved = record.reserved;
  task.claimedAtMs = record.atMs;
  ledger.assign(task, worker);
  return accepted;
};

const mutations: readonly Mutation[] = [
  {
    name: "claims that ignore resources in use",
    expectedFailure: /overfull|overfills/,
    apply: () => {
      const undo = [
        patch(mutableJudges, "claimed", acceptAnyClaim),
        patch(RoundUsage.prototype, "used", () => noResources),
      ];
      return () => undo.forEach((step) => step());
    },
  },
  {
    name: "reclaims that do not wait for leases to lapse",
    expectedFailure: /runs on|ran on/,
    apply: () => patch(LeaseTable.prototype, "hasLapsed", () => true),
  },
  {
    name: "a keeper that never loses its authority",
    expectedFailure: /runs on|ran on/,
    apply: () => patch(LeaseAuthority.prototype, "holds", () => true),
  },
  {
    name: "candidates that report a pledge that they did not make",
    expectedFailure: /runs on|ran on/,
    apply: () => {
      const { hearKeepAlive } = Keeper.prototype;
      return patch(
        Keeper.prototype,
        "hearKeepAlive",
        function (this: Keeper, ...args) {
          hearKeepAlive.apply(this, args);
          return 3_000;
        },
      );
    },
  },
  {
    name: "a fold that accepts a job id twice",
    expectedFailure: /runs on|ran on|does not add up|is not on|left over/,
    apply: () => {
      const judge = mutableJudges.submitted;
      return patch(mutableJudges, "submitted", (ledger, record) => {
        ledger.jobs.delete(record.job.id);
        return judge(ledger, record);
      });
    },
  },
  {
    name: "a fold that drops a job when it is evicted",
    expectedFailure: /has vanished/,
    apply: () => {
      const judge = mutableJudges.released;
      return patch(mutableJudges, "released", (ledger, record) => {
        const task = ledger.tasks.get(record.task);
        const verdict = judge(ledger, record);
        if (task && record.reason === "urgent_work") {
          ledger.jobs.delete(task.job);
        }
        return verdict;
      });
    },
  },
];

function firstFailure(): string | undefined {
  for (const name of readdirSync(folder)) {
    try {
      runScenario(name, readFileSync(`${folder}/${name}`, "utf8"));
    } catch (cause) {
      const text = cause instanceof Error ? cause.message : String(cause);
      if (text.includes("invariant broken")) return text;
    }
  }
  for (let seed = 1; seed <= maxHistories; seed++) {
    try {
      runHistory(seed);
    } catch (cause) {
      return `seed ${seed}: ${cause instanceof Error ? cause.message : cause}`;
    }
  }
  return undefined;
}

describe("the invariants catch", function () {
  this.timeout(120_000);
  for (const { name, expectedFailure, apply } of mutations) {
    it(name, () => {
      const undo = apply();
      try {
        expect(firstFailure()).to.match(expectedFailure);
      } finally {
        undo();
      }
    });
  }
});

describe("random histories", function () {
  this.timeout(120_000);

  it("keep every invariant and finish all work", () => {
    let checks = 0;
    for (let seed = 1; seed <= 150; seed++) {
      checks += runHistory(seed).invariants.checks;
    }
    expect(checks).to.be.greaterThan(100_000);
  });
});
