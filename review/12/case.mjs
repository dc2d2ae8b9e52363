// The keeper's machine and one with a runner are removed for good at once.
import { newId, runCase, sleep, unless } from "../deployment-3.mjs";

const host = "desk.example";
const configuration = {
  version: 3,
  routes: [{
    name: "stock-watch",
    host,
    pathPrefix: "/watch/",
    service: "menu-desk",
    priority: 0,
    maxAttempts: 3,
    stretch: 2,
    targetCompletionMs: 4000,
  }],
};
const path = new URL("./record.txt", import.meta.url).pathname;
const taskCount = 3;
/** The rule: from 6 s after its last run, for 3 s, after 4 s of calm. */
const waitMs = 6_000;
const spanMs = 3_000;
const watchMs = 25_000;

await runCase(path, { runners: 5 }, async (deployment, record, isTroubled) => {
  const { store, runners, sidecars, entries } = deployment;
  store.put("keyed.op", "config", JSON.stringify(configuration));
  deployment.startProcesses();
  await deployment.startRunners();
  unless(await deployment.awaitReady(15_000), "the entries are not ready");
  await sleep(8_000);
  const { keeper } = deployment;
  unless(keeper !== undefined, "there is no keeper");
  record.add(`the keeper is ${keeper.name}`);
  const id = newId();
  const step = {
    count: taskCount,
    cpu: 500,
    memMb: 64,
    antiAffinity: 1,
    longRunning: true,
  };
  const { status } = await deployment.ask(keeper, "POST", `/watch/${id}`, {
    host,
    body: { spec: JSON.stringify({ lasts: true }), steps: [step] },
  });
  record.add(`POST /watch/${id}: ${status}`);
  unless(status === 200, "the job was not accepted");
  await sleep(3_000);
  const holders = (task) => runners.filter(({ running }) => running.has(task));
  const index = runners.findIndex(({ running }) => running.size > 0);
  const [task] = [...runners[index].running.keys()];
  const lostAtMs = performance.now();
  if (isTroubled) {
    record.add(
      `${keeper.name} and the machine of runner-${index + 1} are gone`,
    );
    keeper.kill(true);
    sidecars[index].kill(true);
    runners[index].crash();
  }
  let awayMs = 0;
  while (performance.now() < lostAtMs + watchMs) {
    if (holders(task).length > 0) {
      if (isTroubled || performance.now() > lostAtMs + waitMs + spanMs) break;
    }
    await sleep(20);
    if (holders(task).length === 0) awayMs = performance.now() - lostAtMs;
  }
  record.add(`${task} was away for ${(awayMs / 1000).toFixed(1)} s`);
  const running = runners.filter(({ isUp, running }) =>
    isUp && running.size > 0
  );
  record.add(`${running.length} of ${runners.length - 1} runners run anything`);
  unless(
    await deployment.awaitReady(
      2_000,
      entries.filter(({ isRunning }) => isRunning),
    ),
    "the other entries are not ready",
  );
  if (awayMs < waitMs + spanMs) return [];
  return [
    `${task}, which lasts, had no run for ${(awayMs / 1000).toFixed(1)} s`,
  ];
});
