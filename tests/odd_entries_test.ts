import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import fc from "fast-check";
import { SeededRandom } from "../stand_ins/seeded_random.ts";
import { oddRowsLike } from "./odd_rows.ts";
import { callersHost } from "./soak/callers_host.ts";
import { GuaranteeChecker } from "./soak/guarantee_checker.ts";
import { SoakClient } from "./soak/soak_client.ts";
import { SoakDeployment } from "./soak/soak_deployment.ts";

const seed = 171;
const timeoutMs = 120_000;
const startUpMs = 2_500;
const jobCount = 12;
const submitIntervalMs = 150;
/** All entries are back, and jobs that were accepted have ended. */
const finishMs = 40_000;
const rowsPerKey = 6;

const route = {
  name: "q",
  host: callersHost,
  pathPrefix: "/q/",
  service: "pool",
  priority: 0,
  maxAttempts: 4,
  stretch: 2,
  targetCompletionMs: 1_000,
};
const job = {
  id: "00000000000000aa",
  queue: "q",
  payload: "p",
  steps: [{
    count: 2,
    resources: { cpuMilli: 100, memoryBytes: 1, accelerators: 0 },
    expectedMs: 100,
  }],
  receivedMs: 1,
};
const progress = { s: "r", n: 1, w: [["n", "l"]], o: [[0, [[[1, 0, ""], 0]]]] };

function memberWithPort(port: string): string {
  return `{"role":"sidecar","host":"127.0.0.1","port":${port},"incarnation":"i","strength":1}`;
}

/** Keys of each stream, with values of which variants are written. */
const rows: {
  stream: string;
  key: string;
  valid: unknown;
  /** Only texts that cannot be read: others would be taken as they are. */
  texts?: string[];
}[] = [
  {
    stream: "members",
    key: "sidecar-0",
    valid: undefined,
    texts: ["{}", `{"a":${"[".repeat(9_000)}${"]".repeat(9_000)}}`],
  },
  {
    stream: "members",
    key: "sidecar-1",
    valid: undefined,
    texts: [memberWithPort("70000")],
  },
  {
    stream: "members",
    key: "sidecar-2",
    valid: undefined,
    texts: [memberWithPort("1e400")],
  },
  {
    stream: "members",
    key: "stranger",
    valid: {
      role: "sidecar",
      host: "127.0.0.1",
      port: 9,
      incarnation: "i",
      strength: 1,
    },
  },
  { stream: "jobs", key: job.id, valid: job },
  {
    stream: "jobs",
    key: "00000000000000ab",
    valid: undefined,
    texts: [
      '{"id":"00000000000000ab","queue":"q","payload":"","steps":[{"count":1e400}]}',
    ],
  },
  { stream: "cell", key: `job ${job.id}`, valid: progress },
  {
    stream: "cell",
    key: "learned",
    valid: {
      fillers: ["f"],
      services: [["s", 1, [1], [1]]],
      loads: [["j", 1]],
    },
  },
  { stream: "epochs", key: "other", valid: { node: "n", incarnation: "i" } },
];

// Guards against an entry of another program that ends the processes that read
// it, again and again, or costs a runner its work.
describe("entries and heartbeats of another program", () => {
  it(`end no process and lose no job, seed ${seed}`, async () => {
    const folder = mkdtempSync(join(tmpdir(), "odd-entries-"));
    const checker = new GuaranteeChecker();
    const deployment = new SoakDeployment(seed, folder, checker);
    const { store, processes, runners, fronts } = deployment;
    const random = new SeededRandom(seed);
    // A job that crashes its runners would begin lives of its own accord.
    const client = new SoakClient(fronts, checker, random, false);
    const submitSome = async () => {
      for (let count = 0; count < jobCount; count++) {
        void client.submit();
        await sleep(submitIntervalMs);
      }
    };
    try {
      await deployment.start({ version: 1, routes: [route] });
      await sleep(startUpMs);
      await submitSome();
      for (const { stream, key, valid, texts } of rows) {
        const odd = texts ??
          fc.sample(oddRowsLike(valid), { seed, numRuns: rowsPerKey });
        for (const value of odd) {
          const row = { key, value: value === "" ? "{" : value };
          await store.model.append(stream, [row], { kind: "none" });
        }
      }
      for (const runner of runners) await sendOddHeartbeats(runner);
      await submitSome();
      // Each new keeper reads all rows anew.
      for (const process of processes) {
        if (process.role === "entry") process.signal("SIGKILL");
      }
      await sleep(startUpMs);
      await submitSome();
      checker.isCalm = true;
      const untilMs = performance.now() + finishMs;
      while (
        performance.now() < untilMs && !await client.queryUnfinishedJobs()
      ) {
        await sleep(300);
      }
    } finally {
      await deployment.close();
    }
    checker.checkFinalStates();
    const ended = processes.filter(({ ownEnds }) => ownEnds > 0)
      .map(({ name, ownEnds }) => `${name} ${ownEnds}`);
    expect([ended, checker.violations], folder).to.eql([[], []]);
    for (const { name } of processes) {
      if (!name.startsWith("sidecar")) continue;
      const log = readFileSync(join(folder, `${name}.log`), "utf8");
      expect(log.match(/event=runner_life /g), folder).to.have.length(1);
    }
  }).timeout(timeoutMs);
});

/** Heartbeats under the id of a known runner that it has not sent. */
async function sendOddHeartbeats(runner: {
  readonly host: string;
  readonly port: number;
  readonly controlAddress: string;
  readonly zone: string;
  readonly model: { readonly instance: string };
}): Promise<void> {
  const bornMs = Date.now();
  for (
    const [instance, sequence, born] of [
      [runner.model.instance, "1e300", "1e300"],
      [runner.model.instance, "9007199254740991", String(bornMs + 60_000)],
      ["stranger", "1", String(bornMs + 60_000)],
    ]
  ) {
    const body =
      `{"service":"pool","address":"${runner.host}:${runner.port}",` +
      `"zone":"${runner.zone}","version":"v1","slots":8,"state":"draining",` +
      `"capacity":{"cpu":4000,"memMb":100000,"gpu":0},"labels":["a","r1"],` +
      `"sequence":${sequence},"born":${born}}`;
    const path = `/v1/instances/${instance}/heartbeat`;
    await fetch(`http://${runner.controlAddress}${path}`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body,
    });
  }
}
