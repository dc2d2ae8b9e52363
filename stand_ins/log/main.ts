import { parseArgs } from "node:util";
import { createLogServer } from "./create_log_server.ts";

const { values } = parseArgs({
  options: {
    port: { type: "string" },
    rate: { type: "string", default: "400" },
  },
});
const server = createLogServer(Number(values.rate));
server.listen(Number(values.port), "127.0.0.1", () => console.log("ready"));
