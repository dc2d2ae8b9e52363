import { expect } from "chai";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import { GateFixture } from "./gate_fixture.ts";

const first = "j.0.0.0" as TaskName;
const second = "j.0.0.1" as TaskName;

// Guards against an end that a poll for the former life lets the next one
// forget: its task would run again after it was done (histories, seed 2614).
describe("an end in the next life of a runner reaches the keeper", () => {
  const cases = [
    { returnMs: 0, runMs: 300 },
    { returnMs: 100, runMs: 0 },
    { returnMs: 100, runMs: 300 },
    { returnMs: 350, runMs: 20 },
    { returnMs: 350, runMs: 300 },
  ];
  for (const { returnMs, runMs } of cases) {
    it(`which begins within ${returnMs} ms, ${runMs} ms later`, async () => {
      const fixture = new GateFixture();
      await fixture.start();
      const { clock, gate, runner } = fixture;
      const life = `${runner.instance}@${runner.bornMs}` as RunnerLife;
      fixture.sendStarts(fixture.startCommand({ task: first }));
      await clock.advance(1_000);
      runner.end(first, "done");
      // The known life has just answered, so its end may be forgotten.
      await clock.advance(10);
      expect(fixture.lastReport()?.ends.map(({ task }) => task)).to.eql([
        first,
      ]);
      runner.beginReturn();
      fixture.sendStarts(fixture.startCommand({ task: second }));
      gate.handleMessage({ kind: "forget", life, end: 1 });
      await clock.advance(returnMs);
      runner.restart();
      await clock.advance(runMs);
      if (runMs === 0) await clock.advance(5);
      expect([...runner.running.keys()]).to.eql([second]);
      runner.end(second, "done");
      await clock.advance(500);
      fixture.sendHeartbeat(1);
      await clock.advance(1_000);
      expect(fixture.lastReport()?.ends.map(({ task }) => task)).to.eql([
        second,
      ]);
      gate.stop();
    });
  }
});
