import { createServer } from "node:http";
import { parseArgs } from "node:util";
import { SeededRandom } from "../seeded_random.ts";
import { FaultProxy } from "./fault_proxy.ts";

const { values } = parseArgs({
  options: {
    port: { type: "string" },
    "admin-port": { type: "string" },
    target: { type: "string" },
    seed: { type: "string", default: "1" },
  },
});
const random = new SeededRandom(Number(values.seed));
const proxy = new FaultProxy(Number(values.target), random);
// Every request sets faults, whatever its path.
const adminServer = createServer(async (request, response) => {
  const chunks: Uint8Array[] = [];
  for await (const chunk of request) chunks.push(chunk as Uint8Array);
  proxy.setFaults(JSON.parse(Buffer.concat(chunks).toString()));
  response.end("{}");
});
proxy.server.listen(Number(values.port), "127.0.0.1", () => {
  adminServer.listen(Number(values["admin-port"]), "127.0.0.1", () => {
    console.log("ready");
  });
});
