// A job is cancelled after a submission of which the outcome is not known yet.
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { newId, runCase } from "../deployment-2.mjs";

/** With TROUBLE=0 the case does the same without the disruption. */
const isTroubled = process.env.TROUBLE !== "0";
const options = { entries: 2, sidecars: 3 };
/** How much later an append without an answer is executed. */
const lateMs = 4_000;
const calmMs = 10_000;

runCase(import.meta.url, options, async (deployment) => {
  if (!await deployment.warmUp()) return undefined;
  const id = newId();
  let lost = 0;
  deployment.store.faultOf = ({ path, topic, keys }) => {
    if (!isTroubled || path !== "/v1/log-append") return undefined;
    if (!keys.includes(id)) return undefined;
    lost += 1;
    deployment.record(`an append to ${topic} gets no answer`);
    return { lateMs };
  };
  deployment.onRunnerEvent = ({ kind, data }) => {
    if (!data.task?.startsWith(`${id}.`)) return;
    deployment.record(`${kind} ${data.task} run ${data.run} ${data.how ?? ""}`);
  };
  const job = {
    spec: "{}",
    steps: [{ count: 2, cpu: 500, memMb: 64, longRunning: true }],
  };
  await deployment.call("front-1", "POST", id, job);
  const answer = await deployment.call("front-1", "DELETE", id);
  if (answer.status !== 200 && answer.status !== 410) return [];
  await sleep(lateMs + calmMs);
  await deployment.call("front-1", "GET", id);
  const running = deployment.runningOf(id);
  deployment.record(
    `${lost} appends lost; ${calmMs} ms after the last, ${running.length} tasks run`,
  );
  return running.length === 0
    ? []
    : [`UNASKED: ${running.join(", ")} run, and the job was cancelled`];
});
