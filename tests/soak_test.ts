import { expect } from "chai";
import { runSoak } from "./soak/run_soak.ts";

const faultsMs = 4_000;
const timeoutMs = 120_000;

/** Seeds that once failed, each with the fault that it showed. */
const seeds = [
  // A start that reached a runner's next life was placed a second time.
  100,
  // Starts were lost with a connection that was replaced.
  122,
];

describe("a short fault soak of real processes", () => {
  for (const seed of seeds) {
    it(`violates no guarantee, seed ${seed}`, async () => {
      const { broken, accepted, notes, folder } = await runSoak(seed, faultsMs);
      const details = [...notes, folder].join("\n");
      expect(broken, details).to.eql([]);
      expect(accepted, details).to.be.above(0);
    }).timeout(timeoutMs);
  }
});
