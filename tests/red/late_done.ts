import { expect } from "chai";
import type { NodeId } from "../../src/core/jobs/node_id.ts";
import { CellFixture } from "../cell_fixture.ts";

describe("a run that was done after its claim had been released", () => {
  // Guards against work that runs again though callers' work is done.
  it("is not followed by another once its end was taken note of", () => {
    const fixture = new CellFixture();
    fixture.reportWorker("w0");
    fixture.submit("a", [CellFixture.step()]);
    fixture.advance();
    expect(fixture.newStarts()).to.eql(["a.0.0.0#1@w0"]);
    const lose = (node: string) =>
      fixture.collect(
        fixture.cell.handleWorkerLost(node as NodeId, fixture.nowMs),
      );
    lose("w0");
    fixture.reportWorker("w1");
    fixture.advance(10);
    expect(fixture.newStarts()).to.eql(["a.0.0.0#2@w1"]);
    fixture.endRun("w0", "a.0.0.0", 1, "done");
    const forgets = fixture.effects.filter(({ kind }) => kind === "forget");
    expect(forgets.length).to.be.above(0);
    lose("w1");
    fixture.advance(10);
    expect(fixture.newStarts()).to.eql([]);
  });
});
