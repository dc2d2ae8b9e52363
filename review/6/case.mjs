// A sidecar is killed while many small tasks end on its runner.
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { newId, runCase } from "../deployment-2.mjs";

/** With TROUBLE=0 the case does the same without the disruption. */
const isTroubled = process.env.TROUBLE !== "0";
const jobs = 34;
const tasksPerJob = 50;
/** A runner of 64 cores and one of 8; a task has 0.04 cores. */
const options = { entries: 2, sidecars: 2, cpus: [64_000, 8_000] };
const cpu = 40;
const submitMs = 500;
/** All tasks end this long after the first job is handed in. */
const endAfterS = 22;
const killBeforeEndMs = 300;
const downMs = 1_500;
const watchMs = 18_000;
const shown = 5;

/** The starts of tasks of which a run had ended as done before. */
function findRepeats(events) {
  const done = new Map();
  const repeats = [];
  for (const { kind, at, data } of events) {
    if (kind === "end" && data.how === "done" && !done.has(data.task)) {
      done.set(data.task, { at, ...data });
    }
    const end = done.get(data.task);
    if (kind !== "start" || end === undefined) continue;
    repeats.push({ at, end, ...data });
  }
  return repeats;
}

/** Whether an end was taken note of, and no lease had lapsed before. */
function isNoted(events, { at, runner, number }) {
  for (const event of events) {
    if (event.at < at || event.data.runner !== runner) continue;
    if (event.kind === "lease over") return false;
    if (event.kind === "noted" && event.data.lastSeen >= number) return true;
  }
  return false;
}

runCase(import.meta.url, options, async (deployment) => {
  if (!await deployment.warmUp()) return undefined;
  const ids = new Set();
  const { events } = deployment;
  const isOfJobs = ({ data }) => ids.has(data.task?.slice(0, 16));
  const endS = deployment.seconds + endAfterS;
  for (let count = 0; count < jobs; count++) {
    const id = newId();
    ids.add(id);
    const ms = Math.round((endS - deployment.seconds) * 1_000);
    const job = {
      spec: JSON.stringify({ ms }),
      steps: [{ count: tasksPerJob, cpu, memMb: 1, estimatedMs: ms }],
    };
    const { status } = await deployment.call("front-1", "POST", id, job);
    if (status !== 200) return undefined;
    await sleep(submitMs);
  }
  const started = events.filter(isOfJobs).filter(({ kind }) =>
    kind === "start"
  ).length;
  const sizes = deployment.runners.map(({ running }) => running.size);
  deployment.record(
    `${started} tasks have begun; the runners have ${sizes.join(" and ")}`,
  );
  if (started !== jobs * tasksPerJob) return undefined;
  await sleep((endS - deployment.seconds) * 1_000 - killBeforeEndMs);
  if (isTroubled) await deployment.kill("side-1", downMs);
  await sleep(watchMs);
  for (const { kind, at, data } of events) {
    if (kind !== "noted" && kind !== "lease over") continue;
    deployment.record(
      `${kind} at ${at.toFixed(3)} on ${data.runner}: ${data.lastSeen ?? ""}`,
    );
  }
  const repeats = findRepeats(events.filter(isOfJobs))
    .filter(({ end }) => isNoted(events, end));
  for (const { task, run, runner, at, end } of repeats) {
    deployment.record(
      `${task} run ${run} starts at ${
        at.toFixed(3)
      } on ${runner}; run ${end.run} was done at ${
        end.at.toFixed(3)
      }, end ${end.number} on ${end.runner}`,
    );
  }
  const tasks = repeats.slice(0, shown).map(({ task }) => task).join(", ");
  return repeats.length === 0
    ? []
    : [`TWICE: ${repeats.length} starts after done, such as ${tasks}`];
});
