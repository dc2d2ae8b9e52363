// The entries come back after a restart beside what earlier traffic has left.
import { setTimeout as sleep } from "node:timers/promises";
import { newId, runCase } from "../second/deployment.mjs";

const options = { entries: 3, sidecars: 3 };
/** At 4.609 jobs a second, 120,000 jobs come in 7.3 hours. */
const jobsBefore = process.env.TROUBLE === "0" ? 1_000 : 120_000;
const topics = ["keyed.jobs", "keyed.jobs-2", "keyed.jobs-3", "keyed.cell"];
const watchS = 55;
/** An end counts from a second after the kill and the start that follows it. */
const settleS = 1;

const quick = (steps) => ({
  spec: specOf(500),
  steps: [
    { count: 6, cpu: 960, memMb: 512, estimatedMs: 1_143, checkpoints: true },
    { count: 6, cpu: 960, memMb: 512, estimatedMs: 1_143, dependsOn: [0] },
  ].slice(0, steps),
});
const batch = {
  spec: specOf(150),
  steps: [
    { count: 8, cpu: 1_800, memMb: 512, estimatedMs: 3_857 },
    { count: 8, cpu: 1_800, memMb: 512, estimatedMs: 3_857, dependsOn: [0] },
  ],
};
/** Of 100 jobs, how many are like each of these. */
const kinds = [[34, quick(1)], [51, quick(2)], [15, batch]];

/** A spec of so many bytes, with which a task works for 100 ms. */
function specOf(bytes) {
  const text = JSON.stringify({ ms: 100, note: "" });
  return JSON.stringify({ ms: 100, note: "x".repeat(bytes - text.length) });
}

async function runToEnd(deployment, job) {
  const id = newId();
  await deployment.call("front-1", "POST", id, job);
  for (let tries = 0; tries < 60; tries++) {
    await sleep(250);
    const answer = await deployment.call("front-1", "GET", id, undefined);
    if (answer.body?.state === "completed") return id;
  }
  return undefined;
}

/** The rows that the system has stored for a job. */
function rowsOf(deployment, id) {
  return topics.flatMap((topic) =>
    [...deployment.store.newest(topic)]
      .filter(([key]) => key.includes(id))
      .map(([key, { value }]) => ({ topic, key, value }))
  );
}

runCase(import.meta.url, options, async (deployment) => {
  if (!await deployment.warmUp()) return undefined;
  const patterns = [];
  for (const [share, job] of kinds) {
    const id = await runToEnd(deployment, job);
    if (id === undefined) return undefined;
    const rows = rowsOf(deployment, id);
    const bytes = rows.reduce((sum, { value }) => sum + value.length, 0);
    deployment.record(`${id} has left ${rows.length} rows, ${bytes} bytes`);
    for (let each = 0; each < share; each++) patterns.push({ id, rows });
  }
  const fronts = deployment.processes.filter(({ role }) => role === "entry");
  const kills = fronts.map(({ node }) => deployment.kill(node, 3_000));
  let bytes = 0;
  for (let index = 0; index < jobsBefore; index++) {
    const { id, rows } = patterns[index % patterns.length];
    const other = newId();
    for (const { topic, key, value } of rows) {
      bytes += value.length;
      deployment.store.put(topic, [{
        key: key.replace(id, other),
        value: value.replaceAll(id, other),
      }]);
    }
  }
  deployment.record(
    `the store holds ${jobsBefore} completed jobs more, ${
      Math.round(bytes / 1e6)
    } MB`,
  );
  await Promise.all(kills);
  const backS = deployment.seconds;
  await sleep(settleS * 1_000);
  const settledEnds = fronts.map(({ ownEnds }) => ownEnds);
  await sleep(19_000);
  // One more job, as traffic goes on.
  const job = { spec: '{"ms":100}', steps: [{ count: 1, cpu: 100 }] };
  const id = newId();
  let isAccepted = false;
  while (deployment.seconds < backS + watchS) {
    if (!isAccepted) {
      const { status } = await deployment.call("front-1", "POST", id, job);
      isAccepted = status === 200;
    }
    await sleep(1_000);
  }
  const ends = fronts.map(({ ownEnds }, index) => ownEnds - settledEnds[index]);
  deployment.record(`ends of their own: ${ends.join(", ")}`);
  const hasRun = deployment.events.some(({ kind, data }) =>
    kind === "start" && data.task.startsWith(`${id}.`)
  );
  deployment.record(
    `a job sent since ${isAccepted ? "was" : "was not"} accepted and ${
      hasRun ? "has" : "has not"
    } run`,
  );
  const broken = [];
  const often = ends.filter((count) => count >= 3).length;
  if (often >= 2) {
    broken.push(`Fault: ${often} entries ended by themselves three times`);
  }
  if (!hasRun && isAccepted) broken.push("LOST: an accepted job never begins");
  return broken;
});
