import { expect } from "chai";
import { runRecutSoak } from "./soak/run_recut_soak.ts";

const rounds = 1;
const timeoutMs = 120_000;

/** Seeds that once failed, each with the fault that it showed. */
const seeds = [
  // A keeper counted the lease of a start that the next life took from before it.
  3,
];

describe("runners that are back under their ids and cut off soon after", () => {
  for (const seed of seeds) {
    it(`run no task twice at once, seed ${seed}`, async () => {
      const result = await runRecutSoak({ seed, rounds });
      const details = [...result.notes, result.folder].join("\n");
      expect(result.broken, details).to.eql([]);
      expect(result.accepted, details).to.be.above(0);
    }).timeout(timeoutMs);
  }
});
