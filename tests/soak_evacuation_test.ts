import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { writeEvacuation } from "../src/ops/write_evacuation.ts";
import { SeededRandom } from "../stand_ins/seeded_random.ts";
import { callersHost } from "./soak/callers_host.ts";
import { GuaranteeChecker } from "./soak/guarantee_checker.ts";
import { SoakClient } from "./soak/soak_client.ts";
import { SoakDeployment } from "./soak/soak_deployment.ts";

const seed = 7;
const submitIntervalMs = 60;
const pollMs = 50;
const boundMs = 5_000;
const afterBoundMs = 3_000;

const configuration = {
  version: 1,
  routes: [{
    name: "q",
    host: callersHost,
    pathPrefix: "/q/",
    service: "pool",
    maxAttempts: 100,
  }],
};

describe("an evacuation of real processes", () => {
  // Guards the wiring: settings, the tail of the configuration, the messages.
  it("lets nothing start from the bound until it is revoked", async () => {
    const folder = mkdtempSync(join(tmpdir(), "evacuation-"));
    const checker = new GuaranteeChecker();
    const deployment = new SoakDeployment(seed, folder, checker, {
      "bounds.evacuateMs": boundMs,
    });
    const { fronts, runners, store } = deployment;
    const client = new SoakClient(fronts, checker, new SeededRandom(seed));
    const submissions: Promise<void>[] = [];
    const timer = setInterval(
      () => submissions.push(client.submit()),
      submitIntervalMs,
    );
    const evacuated = runners[0]!;
    const startsIn = async (ms: number): Promise<number> => {
      const before = evacuated.model.startCount;
      await sleep(ms);
      return evacuated.model.startCount - before;
    };
    const waitForStart = async (): Promise<void> => {
      const before = evacuated.model.startCount;
      while (evacuated.model.startCount === before) await sleep(pollMs);
    };
    try {
      await deployment.start(configuration);
      await waitForStart();
      await writeEvacuation(store.model, evacuated.zone, true, Date.now());
      await sleep(boundMs);
      expect(await startsIn(afterBoundMs), folder).to.equal(0);
      await writeEvacuation(store.model, evacuated.zone, false, Date.now());
      await waitForStart();
      const row = store.model.newestValue("cell", "evacuation");
      expect(JSON.parse(row!)).to.eql({ zones: [] });
      expect(checker.violations).to.eql([]);
    } finally {
      clearInterval(timer);
      await Promise.all(submissions);
      await deployment.close();
    }
  }).timeout(60_000);
});
