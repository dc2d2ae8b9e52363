import { parseArgs } from "node:util";
import { logServer } from "./log_server.ts";

const { values } = parseArgs({
  options: {
    port: { type: "string" },
    rate: { type: "string", default: "400" },
  },
});
const server = logServer(Number(values.rate));
server.listen(Number(values.port), "127.0.0.1", () => console.log("ready"));
