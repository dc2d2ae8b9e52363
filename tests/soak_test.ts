import { expect } from "chai";
import { play } from "./soak/play.ts";

const forMs = 4_000;
const timeoutMs = 120_000;

/** Seeds that failed once, each with what it was. */
const seeds = [
  // A start that reached a runner's next life, placed again.
  100,
  // Starts lost with a connection that was replaced.
  122,
];

describe("a short fault soak of real processes", () => {
  for (const seed of seeds) {
    it(`keeps what the pages promise, seed ${seed}`, async () => {
      const { broken, accepted, notes, folder } = await play(seed, forMs);
      const seen = [...notes, folder].join("\n");
      expect(broken, seen).to.eql([]);
      expect(accepted, seen).to.be.above(0);
    }).timeout(timeoutMs);
  }
});
