import { dirname } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Advisor } from "../advisor.mjs";
import { Deployment, route, runCase } from "../deployment.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const folder = dirname(fileURLToPath(import.meta.url));
const queue = "lohu930";
const advice = { decideMs: 50, perWorkerMs: 5, validMs: 3_000 };
/** A quarter of the 27 runners, at most, comes in addition. */
const addedRunners = 6;
const workMs = 900;
const finishMs = 14_000;
/** For so long a job that could run has nothing running. */
const idleMs = 3_000;
const deployment = new Deployment({ folder, entries: 3, sidecars: 27 });
const advisor = new Advisor(advice);
// The policy lets two of the runners run the queue's steps, now and later.
advisor.allowed = new Set(["i-r1", "i-r2"]);
advisor.onCall = ({ step, workers, good }) =>
  deployment.note(`advice on ${step}: ${workers} named, ${good} good`);

await runCase(deployment, async () => {
  await deployment.start([route(queue, { advice })]);
  await advisor.listen(deployment.adviceHost, deployment.advicePort);
  await deployment.awaitReady();
  await sleep(6_000);
  const starts = (id) => deployment.eventsOf(id, "start").length;
  const lasting = {
    count: 2,
    cpu: 6_000,
    memMb: 256,
    longRunning: true,
    antiAffinity: 1,
  };
  const watch = await deployment.submit(queue, [lasting], {});
  await deployment.until(() => starts(watch) === 2, 10_000);
  const step = { count: 1, cpu: 500, memMb: 256, estimatedMs: workMs };
  const first = await deployment.submit(queue, [step], { ms: workMs });
  await deployment.until(() => starts(first) === 1, 10_000);
  if (starts(watch) < 2 || starts(first) < 1) throw new Error("nothing runs");
  for (let count = 0; hasTrouble && count < addedRunners; count++) {
    await deployment.addRunner();
  }
  await sleep(3_000);
  const id = await deployment.submit(queue, [step], { ms: workMs });
  if (id === undefined) throw new Error("the job was not accepted");
  await sleep(finishMs + idleMs);
  const state = await deployment.state(queue, id);
  deployment.note(`${id} is ${state}, and has begun ${starts(id)} times`);
  advisor.close();
  if (starts(id) > 0) return undefined;
  return `LOST: accepted ${id} has not begun, with 10 of 16 cores free on each runner that may run it`;
});
