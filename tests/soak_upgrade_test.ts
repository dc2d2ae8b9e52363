import { readFileSync } from "node:fs";
import { expect } from "chai";
import { buildCommit } from "./soak/build_commit.ts";
import { runSoak } from "./soak/run_soak.ts";

const seed = 2;
const faultsMs = 8_000;
const timeoutMs = 180_000;

const production = /^production = "(\w+)"/m.exec(
  readFileSync("deploy/system.toml", "utf8"),
)?.[1];

describe("a fleet whose processes are upgraded and downgraded in turn", () => {
  it("violates no guarantee, with the build in production", async function () {
    expect(production).to.be.a("string");
    const olderProgram = buildCommit(production!);
    if (olderProgram === undefined) {
      console.log(`not run: the history has no commit ${production}`);
      this.skip();
    }
    const { broken, accepted, notes, folder } = await runSoak(
      seed,
      faultsMs,
      olderProgram,
    );
    const details = [...notes, folder].join("\n");
    expect(broken, details).to.eql([]);
    expect(accepted, details).to.be.above(0);
  }).timeout(timeoutMs);
});
