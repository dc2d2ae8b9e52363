import { parseArgs } from "node:util";
import { SeededRandom } from "../seeded_random.ts";
import { RunnerServer } from "./runner_server.ts";

const announceIntervalMs = 1_000;

const { values } = parseArgs({
  options: {
    port: { type: "string" },
    id: { type: "string" },
    service: { type: "string" },
    "mean-ms": { type: "string", default: "5" },
    seed: { type: "string", default: "1" },
    sidecar: { type: "string" },
    "announced-port": { type: "string" },
  },
});
const random = new SeededRandom(Number(values.seed));
const meanMs = Number(values["mean-ms"]);
const runner = new RunnerServer(String(values.id), meanMs, random);
const port = Number(values["announced-port"] ?? values.port);

async function announce(): Promise<void> {
  const announcement = {
    service: values.service,
    address: { host: "127.0.0.1", port },
    slots: 8,
    connections: 60,
  };
  try {
    await fetch(`http://127.0.0.1:${values.sidecar}/announce`, {
      method: "POST",
      body: JSON.stringify(announcement),
    });
  } catch {
    // The sidecar may be down; the next announcement retries.
  }
}

runner.server.listen(Number(values.port), "127.0.0.1", () => {
  console.log("ready");
  void announce();
  setInterval(() => void announce(), announceIntervalMs);
});
