// Runners crash, one at a time, while a job is at work that does no harm.
import { setTimeout as sleep } from "node:timers/promises";
import { newId, runCase } from "../second/deployment.mjs";

const options = { entries: 2, sidecars: 8, maxAttempts: 3 };
const crashes = 3;
const afterStartMs = 150;
const downMs = 3_000;
const withinS = 60;

runCase(import.meta.url, options, async (deployment, isTroubled) => {
  if (!await deployment.warmUp()) return undefined;
  const id = newId();
  let crashed = 0;
  let failedEnds = 0;
  deployment.onRunnerEvent = ({ kind, data }) => {
    if (!data.task?.startsWith(`${id}.`)) return;
    deployment.record(
      `${kind} ${data.task} run ${data.run} on ${data.runner} ${
        data.how ?? ""
      }`,
    );
    if (data.how === "failed") failedEnds += 1;
    if (kind !== "start" || !isTroubled || crashed >= crashes) return;
    crashed += 1;
    const runner = deployment.runners.find(({ name }) => name === data.runner);
    setTimeout(() => runner.crash(downMs), afterStartMs);
  };
  const job = {
    spec: '{"ms":3000}',
    steps: [{ count: 1, cpu: 500, memMb: 64, estimatedMs: 3_000 }],
  };
  const { status } = await deployment.call("front-1", "POST", id, job);
  if (status !== 200) return undefined;
  const untilS = deployment.seconds + withinS;
  let state;
  while (state !== "completed" && state !== "failed") {
    if (deployment.seconds > untilS) break;
    await sleep(500);
    const quiet = await deployment.call(
      "front-1",
      "GET",
      id,
      undefined,
      3_000,
      true,
    );
    state = quiet.body?.state;
  }
  await deployment.call("front-2", "GET", id);
  deployment.record(`${crashed} crashes; ends that list failed: ${failedEnds}`);
  if (state === undefined) return undefined;
  return state === "failed" && failedEnds === 0
    ? [`LOST: ${id} is shown as failed, and no run of it has failed`]
    : [];
});
