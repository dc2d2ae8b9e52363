// One large job comes, and then a few small ones.
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { newId, runCase } from "../deployment-2.mjs";

const options = { entries: 3, sidecars: 3 };
const size = 3_000;
/** With TROUBLE=0 the large job is a small one. */
const isLarge = process.env.TROUBLE !== "0";
/** Tasks of each of its three steps. */
const count = isLarge ? size : 10;
const smallJobs = 5;
const watchS = 95;

runCase(import.meta.url, options, async (deployment) => {
  if (!await deployment.warmUp()) return undefined;
  const ofRole = (role) =>
    deployment.processes.filter((each) => each.role === role);
  const step = { count, cpu: 1, memMb: 1, estimatedMs: 2_000 };
  const large = newId();
  const { status } = await deployment.call("front-1", "POST", large, {
    spec: '{"ms":2000}',
    steps: [step, step, step],
  });
  if (status !== 200) return undefined;
  await sleep(3_000);
  const ids = [];
  for (let sent = 0; sent < smallJobs; sent++) {
    const id = newId();
    const answer = await deployment.call("front-2", "POST", id, {
      spec: '{"ms":900}',
      steps: [{ count: 1, cpu: 500, memMb: 256, estimatedMs: 900 }],
    });
    if (answer.status === 200) ids.push(id);
    await sleep(500);
  }
  const busy = [];
  for (let second = 0; second < watchS; second++) {
    await sleep(1_000);
    busy.push(deployment.runners.map(({ running }) => running.size));
  }
  const most = Math.max(...busy.flat());
  deployment.record(
    `tasks that ran at once on a runner: ${most}; in the end ${
      busy.at(-1).join(", ")
    }`,
  );
  const begun = (id) =>
    deployment.events.some(({ kind, data }) =>
      kind === "start" && data.task.startsWith(`${id}.`)
    );
  const waiting = ids.filter((id) => !begun(id));
  deployment.record(
    `${ids.length} small jobs accepted; ${waiting.length} have not begun`,
  );
  const done = deployment.events.filter(({ kind, data }) =>
    kind === "end" && data.how === "done" && data.task.startsWith(`${large}.`)
  ).length;
  deployment.record(`${done} of ${3 * count} tasks of the large job done`);
  const ends = [...ofRole("entry"), ...ofRole("sidecar")]
    .map(({ node, ownEnds }) =>
      `${node} ${ownEnds}`
    );
  deployment.record(`ends of their own: ${ends.join(", ")}`);
  const broken = [];
  const often = deployment.processes.filter(({ ownEnds }) => ownEnds >= 3);
  if (often.length >= 2) {
    const names = often.map(({ node }) => node).join(", ");
    broken.push(`Fault: ${names} ended by themselves three times`);
  }
  for (const id of waiting) {
    broken.push(`LOST: ${id} was accepted and has not begun in ${watchS} s`);
  }
  return broken;
});
