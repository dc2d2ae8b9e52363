import { expect } from "chai";
import { runLastingSoak } from "./soak/run_lasting_soak.ts";

const series = 2;
const timeoutMs = 150_000;

/** Seeds that once failed, each with the fault that it showed. */
const seeds = [
  // A keeper waited for the leases of a runner that had left before its term.
  4_032,
];

describe("tasks that last, beside runners that leave and entries that restart", () => {
  for (const seed of seeds) {
    it(`run again within the users' bound, seed ${seed}`, async () => {
      const result = await runLastingSoak({ seed, series });
      const details = [...result.notes, result.folder].join("\n");
      expect(result.broken, details).to.eql([]);
      expect(result.accepted, details).to.be.above(0);
    }).timeout(timeoutMs);
  }
});
