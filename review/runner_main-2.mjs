// One runner, in a process of its own; what it sees goes to the parent.
import process from "node:process";
import { Runner } from "./runner-2.mjs";

process.once("message", async (options) => {
  const runner = new Runner(options, (kind, data) => {
    const atMs = performance.timeOrigin + performance.now();
    process.send({ kind, atMs, data });
  });
  await runner.listen();
  process.send({ kind: "listening" });
});
process.once("disconnect", () => process.exit());
