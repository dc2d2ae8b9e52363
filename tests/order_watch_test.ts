import { expect } from "chai";
import { GateFixture } from "./gate_fixture.ts";
import { LineLog } from "./line_log.ts";

/** A gate that has run for a while, with what it has logged since. */
async function startGate() {
  const lines = new LineLog();
  const fixture = new GateFixture(1, {}, lines);
  await fixture.start();
  lines.lines.length = 0;
  return { lines, fixture };
}

// Guards against orders of which nothing is known between arrival and effect.
describe("a sidecar logs", () => {
  it("no line for orders that take effect at once", async () => {
    const { fixture, lines } = await startGate();
    const command = fixture.startCommand();
    fixture.sendStarts(command);
    await fixture.clock.advance(500);
    fixture.sendStop(command);
    await fixture.clock.advance(5_000);
    expect(lines.lines).to.eql([]);
    fixture.gate.stop();
  });

  it("a start that waits, and its effect", async () => {
    const { fixture, lines } = await startGate();
    fixture.runner.isSilent = true;
    fixture.sendStarts(fixture.startCommand());
    await fixture.clock.advance(2_500);
    const [first = ""] = lines.of("order_waits");
    expect(first).to.match(
      /task=j.0.0.0 run=1 phase=starting waited_ms=\d+ .*is_start_uncertain=true/,
    );
    expect(lines.of("order_waits").length).to.equal(1);
    fixture.runner.isSilent = false;
    await fixture.clock.advance(2_000);
    expect(lines.of("order_done").join()).to.match(
      /task=j.0.0.0 run=1 phase=starting waited_ms=\d+ now=running/,
    );
    fixture.gate.stop();
  });

  it("a start that is given up when the lease has ended", async () => {
    const { fixture, lines } = await startGate();
    fixture.runner.isSilent = true;
    fixture.sendStarts(fixture.startCommand());
    await fixture.clock.advance(9_000);
    expect(lines.of("start_given_up")).to.eql([
      "start_given_up task=j.0.0.0 run=1 reason=lease_ended",
    ]);
    expect(lines.of("order_waits").length).to.be.within(1, 3);
    fixture.gate.stop();
  });

  it("a stop without answer, at most each 5 s", async () => {
    const { fixture, lines } = await startGate();
    const command = fixture.startCommand();
    fixture.sendStarts(command);
    await fixture.clock.advance(500);
    fixture.runner.isSilent = true;
    fixture.sendStop(command);
    await fixture.clock.advance(4_000);
    expect(lines.of("stop_unanswered").length).to.equal(1);
    expect(lines.of("stop_unanswered")[0]).to.include("task=j.0.0.0 run=1");
    await fixture.clock.advance(6_000);
    expect(lines.of("stop_unanswered").length).to.equal(2);
    fixture.gate.stop();
  });

  it("a run that goes on after its stop was acknowledged", async () => {
    const { fixture, lines } = await startGate();
    const command = fixture.startCommand();
    fixture.runner.stopMs = () => 3_000;
    fixture.sendStarts(command);
    await fixture.clock.advance(500);
    fixture.sendStop(command);
    await fixture.clock.advance(2_500);
    expect(lines.of("order_waits").join()).to.match(
      /task=j.0.0.0 run=1 phase=stopping .*stop_acknowledged_age_ms=\d+/,
    );
    await fixture.clock.advance(2_000);
    expect(lines.of("order_done").join()).to.include("now=gone");
    fixture.gate.stop();
  });

  it("a stop that is meant for another life", async () => {
    const { fixture, lines } = await startGate();
    const command = fixture.startCommand();
    fixture.sendStop({ ...command, life: `${command.life}1` as never });
    expect(lines.of("stop_ignored")).to.eql([
      "stop_ignored task=j.0.0.0 run=1 reason=other_life",
    ]);
    fixture.gate.stop();
  });
});
