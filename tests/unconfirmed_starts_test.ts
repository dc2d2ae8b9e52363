import { expect } from "chai";
import type { RunnerResult } from "../src/gate/runner_result.ts";
import { UnconfirmedStarts } from "../src/gate/unconfirmed_starts.ts";

// Guards against a lapse that waits for a start which certainly had no effect.
describe("a start that a next life may have taken", () => {
  const clockMs = 1;
  const failed = { isOk: false, clockMs } as const;
  const cases: readonly {
    readonly name: string;
    readonly result: RunnerResult<undefined>;
    readonly lastAtMs: number | undefined;
  }[] = [
    {
      name: "was answered",
      result: { isOk: true, value: undefined, clockMs },
      lastAtMs: 10,
    },
    {
      name: "was not answered",
      result: { ...failed, failure: "unknown" },
      lastAtMs: 10,
    },
    {
      name: "was rejected",
      result: { ...failed, failure: "no_room" },
      lastAtMs: 10,
    },
    {
      name: "found no listener",
      result: { ...failed, failure: "refused" },
      lastAtMs: undefined,
    },
    {
      name: "got no connection",
      result: { ...failed, failure: "unreached" },
      lastAtMs: undefined,
    },
  ];
  for (const { name, result, lastAtMs } of cases) {
    it(`counts, or not, if it ${name}`, async () => {
      const starts = new UnconfirmedStarts(() => 10);
      await starts.track(() => Promise.resolve(result));
      expect(starts.lastAtMs).to.equal(lastAtMs);
      starts.confirm(9);
      expect(starts.lastAtMs).to.equal(lastAtMs);
      starts.confirm(10);
      expect(starts.lastAtMs).to.equal(undefined);
    });
  }
});
