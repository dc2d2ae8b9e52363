import { dirname } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Deployment, route, runCase } from "../deployment.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const folder = dirname(fileURLToPath(import.meta.url));
const queue = "lohu930";
/** Images of tasks that serve, and of tasks that fill beside them. */
const servingImages = hasTrouble ? 220 : 5;
const fillingImages = hasTrouble ? 256 : 9;
const servingTasks = 220;
const fillingTasks = 256;
const stepsOfJob = 5;
const submitMs = 100;
const watchMs = 50_000;
/** How many ends on one machine count, and on how many machines. */
const maxOwnEnds = 3;
const maxMachines = 2;
const deployment = new Deployment({ folder, entries: 3, sidecars: 11 });

await runCase(deployment, async () => {
  await deployment.start([route(queue)]);
  await deployment.awaitReady();
  await sleep(4_000);
  let number = 0;
  while (number < servingTasks) {
    const steps = Array.from({ length: stepsOfJob }, () => ({
      count: 1,
      cpu: 300,
      memMb: 256,
      longRunning: true,
      image: `serves-${number++ % servingImages}`,
      targetMs: 100,
    }));
    await deployment.submit(queue, steps, { figure: 30 });
  }
  await sleep(3_000);
  for (let index = 0; index < fillingTasks; index++) {
    const step = {
      count: 1,
      cpu: 200,
      memMb: 256,
      estimatedMs: 60_000,
      checkpoints: true,
      fills: true,
      image: `fills-${index % fillingImages}`,
    };
    const spec = { ms: 200_000, figure: 150 };
    await deployment.submit(queue, [step], spec);
    await sleep(submitMs);
  }
  const untilMs = performance.now() + watchMs;
  while (performance.now() < untilMs && !isBroken()) await sleep(500);
  for (const { node, ownEnds } of deployment.processes) {
    if (ownEnds > 0) deployment.note(`${node} has ended ${ownEnds} times`);
  }
  if (!isBroken()) return undefined;
  const nodes = failing().map(({ node }) => node).join(" and ");
  return `Fault: the processes on ${nodes} have each ended by themselves ${maxOwnEnds} times`;
});

function failing() {
  return deployment.processes.filter(({ ownEnds }) => ownEnds >= maxOwnEnds);
}

function isBroken() {
  return failing().length >= maxMachines;
}
