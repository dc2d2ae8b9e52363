import { expect } from "chai";
import { clockDrift } from "../src/core/clock/clock_drift.ts";
import { maxPermitMs } from "../src/core/clock/max_permit_ms.ts";
import { maxTransitMs } from "../src/core/clock/max_transit_ms.ts";
import { GateFixture } from "./gate_fixture.ts";
import { LineLog } from "./line_log.ts";

const { maxHoldMs } = GateFixture;
/** A keeper's bound for a claim that is not listed. */
const unlistedMs = maxHoldMs * (1 + clockDrift) + 250 +
  (maxPermitMs + maxTransitMs) * (1 + clockDrift);
/** A process that was frozen handles what has come in the meantime so late. */
const lateMs = 5_000;

/** The next answer to a poll is handled late, as by a process that was frozen. */
async function freezeNextPoll({ runner, clock }: GateFixture): Promise<void> {
  let isAnswered = false;
  const hold = runner.hold.bind(runner);
  runner.hold = async (command) => {
    runner.hold = hold;
    const answer = await hold(command);
    isAnswered = true;
    await clock.sleep(lateMs);
    return answer;
  };
  while (!isAnswered) await clock.advance(5);
}

// Guards against a next life that is taken for the one that answered before.
describe("an answer of the former life that is handled late", () => {
  it("extends no lease of the next life beyond the keeper's bound", async () => {
    const fixture = new GateFixture(0.98);
    await fixture.start();
    const { clock, gate, runner } = fixture;
    // The longer a life, the longer a lease its clock's time is for the next one.
    await clock.advance(30_000);
    const command = fixture.startCommand();
    await freezeNextPoll(fixture);
    // Not later than this.
    const renewedAtMs = clock.nowMs();
    fixture.isRenewing = false;
    runner.restart();
    fixture.sendStarts(command);
    await clock.advance(lateMs + 1_000);
    expect(runner.running.size).to.equal(1);
    const leftMs = (runner.leaseEndClockMs - runner.clockMs) / 0.98;
    expect(clock.nowMs() + leftMs - renewedAtMs).to.be.below(unlistedMs);
    gate.stop();
  });

  it("lets no ends of the next life be forgotten", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    const { clock, gate, runner } = fixture;
    for (const index of [1, 2, 3]) {
      fixture.sendStarts(
        fixture.startCommand({ task: `j.0.0.${index}` as never }),
      );
    }
    await clock.advance(300);
    const life = fixture.startCommand().life;
    for (const index of [1, 2, 3]) runner.end(`j.0.0.${index}`, "done");
    await clock.advance(300);
    await freezeNextPoll(fixture);
    const command = fixture.startCommand();
    runner.restart();
    fixture.sendStarts(command);
    await clock.advance(20);
    gate.handleMessage({ kind: "forget", life, end: 3 });
    runner.end("j.0.0.0", "done");
    const forgotten: string[] = [];
    runner.observer.onForgotten = (end) => forgotten.push(end.task);
    await clock.advance(2 * lateMs + 1_000);
    expect(forgotten).to.eql([]);
    gate.stop();
  });

  it("does not count once the next life has answered", async () => {
    const lines = new LineLog();
    const fixture = new GateFixture(1, {}, lines);
    await fixture.start();
    const { clock, gate, runner } = fixture;
    await freezeNextPoll(fixture);
    runner.restart();
    lines.lines.splice(0);
    const polled = gate.pollNow();
    await clock.advance(500);
    expect(await polled).to.equal(false);
    await clock.advance(lateMs);
    expect(lines.of("runner_up")).to.eql([]);
    gate.stop();
  });
});
