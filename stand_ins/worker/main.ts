import { randomBytes } from "node:crypto";
import { parseArgs } from "node:util";
import type { WorkerCommand } from "../../src/core/worker/worker_command.ts";
import type { WorkerId } from "../../src/schema/worker_id.ts";
import { createJsonServer } from "../create_json_server.ts";
import { WorkerModel } from "./worker_model.ts";

const bytesPerGb = 2 ** 30;
const advanceIntervalMs = 20;

const { values } = parseArgs({
  options: {
    port: { type: "string" },
    id: { type: "string" },
    cores: { type: "string", default: "16" },
    memory: { type: "string", default: "60" },
  },
});
const capacity = {
  cpuMilli: Number(values.cores) * 1_000,
  memoryBytes: Number(values.memory) * bytesPerGb,
  accelerators: 0,
};
const bootId = randomBytes(4).toString("hex");
const worker = new WorkerModel(values.id as WorkerId, bootId, capacity);

/** What the worker ran, for tests to compare with the system's own records. */
function truth(): unknown {
  const running = [...worker.runningAttempts()].map(({ id, task }) => ({
    task: id,
    attempt: task.attempt,
    reserved: task.reserved,
  }));
  return { worker: worker.id, bootId, starts: worker.startCount, running };
}

const server = createJsonServer((_method, url, body) => {
  const nowMs = performance.now();
  worker.advance(nowMs);
  if (url.pathname === "/truth") return { status: 200, body: truth() };
  if (url.pathname === "/admin") {
    Object.assign(worker, body);
    return { status: 200, body: {} };
  }
  const command = body as Partial<WorkerCommand> | undefined;
  const isCommand = command?.bootId !== undefined;
  const report = worker.apply(
    isCommand ? command as WorkerCommand : undefined,
    nowMs,
  );
  return { status: 200, body: report };
});
// Tasks end on time even while no request arrives.
setInterval(() => worker.advance(performance.now()), advanceIntervalMs);
server.listen(Number(values.port), "127.0.0.1", () => console.log("ready"));
