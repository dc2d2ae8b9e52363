// The entries and one machine with a runner lose power at the same moment; the
// entries come back.
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { newId, runCase } from "../deployment-2.mjs";

/** With TROUBLE=0 the case does the same without the disruption. */
const isTroubled = process.env.TROUBLE !== "0";
const options = { entries: 3, sidecars: 5 };
const darkMs = 1_000;
/** By the rule: from 6 s after its last run, for 3 s, after 4 s of calm. */
const waitS = 6;
const spanS = 3;
const calmBeforeS = 4;
const watchS = 25;

runCase(import.meta.url, options, async (deployment) => {
  if (!await deployment.warmUp()) return undefined;
  const id = newId();
  const lastRun = new Map();
  deployment.onRunnerEvent = ({ kind, data }) => {
    if (!data.task?.startsWith(`${id}.`)) return;
    deployment.record(`${kind} ${data.task} run ${data.run} on ${data.runner}`);
    if (kind === "start") lastRun.set(data.task, data.runner);
  };
  const step = { count: 3, cpu: 500, memMb: 64, antiAffinity: 1 };
  const { status } = await deployment.call("front-1", "POST", id, {
    spec: "{}",
    steps: [{ ...step, longRunning: true }],
  });
  if (status !== 200) return undefined;
  await sleep(4_000);
  if (deployment.runningOf(id).length !== step.count) return undefined;
  const [task, name] = [...lastRun][0];
  const lost = deployment.runners.find((runner) => runner.name === name);
  const machine = deployment.processes
    .find(({ ip }) => ip === lost.options.host);
  const lostS = deployment.seconds;
  if (isTroubled) {
    const fronts = deployment.processes.filter(({ role }) => role === "entry");
    await Promise.all([
      deployment.remove(machine.node),
      ...fronts.map(({ node }) => deployment.kill(node, darkMs)),
    ]);
  }
  const calmS = deployment.seconds;
  // Nothing of the task may be missing for so long from this moment on.
  const dueS = Math.max(lostS + waitS, calmS + calmBeforeS);
  let backS;
  while (deployment.seconds < lostS + watchS) {
    await sleep(50);
    if (deployment.runningOf(id).includes(task)) backS ??= deployment.seconds;
  }
  const shown = backS === undefined
    ? `not in ${watchS} s`
    : `after ${(backS - lostS).toFixed(1)} s`;
  deployment.record(`${task} runs again ${shown}`);
  const missedS = (backS ?? lostS + watchS) - dueS;
  return missedS < spanS ? [] : [
    `LOST: ${task} does not run for ${missedS.toFixed(1)} s from ${
      dueS.toFixed(1)
    } s on, with room on ${deployment.runners.length - 1} runners`,
  ];
});
