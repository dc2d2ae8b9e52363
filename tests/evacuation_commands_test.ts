import { expect } from "chai";
import { err } from "true-myth/result";
import type { StoreFailure } from "../src/core/store/store_failure.ts";
import { readEvacuations } from "../src/ops/read_evacuations.ts";
import { writeEvacuation } from "../src/ops/write_evacuation.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";

describe("the operator's commands", () => {
  it("request, show and revoke evacuations", async () => {
    const store = new StoreModel();
    const requested = async () => {
      const read = await readEvacuations(store);
      return read.isOk ? read.value.requested : [];
    };
    for (const zone of ["y", "z"]) {
      const outcome = await writeEvacuation(store, zone, true, 7);
      expect(outcome).to.eql({ text: `${zone} is evacuated`, exitCode: 0 });
    }
    const value = store.newestValue("op", "evacuate/z");
    expect(value).to.equal(`{"requestedAtMs":7}`);
    expect(await requested()).to.eql(["y", "z"]);
    expect((await writeEvacuation(store, "z", false, 8)).exitCode).to.equal(0);
    expect(await requested()).to.eql(["y"]);
    const bad = { key: "evacuate/x", value: "?" };
    const row = { key: "evacuation", value: `{"zones":[]}` };
    await store.append("op", [bad], { kind: "none" });
    await store.append("cell", [row], { kind: "none" });
    const read = await readEvacuations(store);
    expect(read.isOk && read.value).to.eql({
      requested: ["y"],
      ignored: ["evacuate/x"],
      observed: { zones: [] },
    });
  });

  const failures: readonly (readonly [StoreFailure, number, string])[] = [
    [{ kind: "rejected", detail: "status 403" }, 4, "does not allow"],
    [{ kind: "refused", detail: "down" }, 3, "nothing has changed"],
    [{ kind: "unknown", detail: "timeout" }, 3, "may have taken effect"],
  ];
  for (const [failure, exitCode, text] of failures) {
    it(`report a write that is ${failure.kind}`, async () => {
      const store = new StoreModel();
      store.append = () => Promise.resolve(err(failure));
      const outcome = await writeEvacuation(store, "z", true, 0);
      expect(outcome.exitCode).to.equal(exitCode);
      expect(outcome.text).to.include(text);
    });
  }

  it("reject what cannot be a data centre", async () => {
    const store = new StoreModel();
    expect((await writeEvacuation(store, "a b", true, 0)).exitCode).to.equal(2);
    expect(store.appendCount).to.equal(0);
  });
});
