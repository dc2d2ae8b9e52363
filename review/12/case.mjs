import { newId, runCase, sleep, unless } from "../deployment-3.mjs";

const host = "desk.example";
const route = (name) => ({
  name,
  host,
  pathPrefix: `/${name}/`,
  service: "menu-desk",
  priority: 0,
  maxAttempts: 3,
  stretch: 2,
  targetCompletionMs: 4000,
});
const configuration = {
  version: 3,
  routes: [route("stock-watch"), route("diet-check")],
};
const path = new URL("./record.txt", import.meta.url).pathname;
/** One of 8 runners at a time: 0.125 of the service's, of 0.14 on the sheet. */
const runnerCount = 8;
const crashCount = 40;
const crashIntervalMs = 900;
/** Of 4.5 s on the sheet. */
const downMs = 500;
const watchCount = 10;
const checkIntervalMs = 200;
const calmMs = 15_000;

await runCase(
  path,
  { runners: runnerCount },
  async (deployment, record, isTroubled) => {
    const { store, runners, entries } = deployment;
    store.put("keyed.op", "config", JSON.stringify(configuration));
    deployment.startProcesses();
    await deployment.startRunners();
    unless(await deployment.awaitReady(15_000), "the entries are not ready");
    await sleep(3_000);
    const jobs = [];
    const handIn = async (queue, work, step) => {
      const id = newId();
      const entry = entries[jobs.length % entries.length];
      const job = { id, queue, state: "none", isAccepted: false };
      jobs.push(job);
      const { status } = await deployment.ask(
        entry,
        "POST",
        `/${queue}/${id}`,
        { host, body: { spec: JSON.stringify(work), steps: [step] } },
      );
      record.add(`POST /${queue}/${id}: ${status}`);
      job.isAccepted = status === 200;
    };
    for (let i = 0; i < watchCount; i++) {
      const step = { count: 6, cpu: 1000, memMb: 100, longRunning: true };
      await handIn("stock-watch", { lasts: true }, step);
    }
    await sleep(2_000);
    const checks = setInterval(() => {
      const step = { count: 6, cpu: 240, memMb: 100, estimatedMs: 1100 };
      void handIn("diet-check", { ms: 1100 }, step);
    }, checkIntervalMs);
    // The crashes follow the clock alone, one runner after the other is drawn.
    for (let i = 0; i < crashCount; i++) {
      await sleep(crashIntervalMs);
      const up = runners.filter(({ isUp }) => isUp);
      const drawn = up[Math.floor(Math.random() * up.length)];
      if (isTroubled) drawn?.crash(downMs);
    }
    clearInterval(checks);
    record.add("no more crashes, and no more jobs");
    await sleep(calmMs);
    const broken = [];
    for (const job of jobs) {
      if (!job.isAccepted) continue;
      const { id, queue } = job;
      const { status, body } = await deployment.ask(
        entries[0],
        "GET",
        `/${queue}/${id}`,
        { host },
      );
      record.add(`GET /${queue}/${id}: ${status} ${body.state}`);
      if (body.state !== "failed" && status === 200) continue;
      const failedEnds = runners.flatMap(({ endsSeen }) => endsSeen)
        .filter(({ task, how }) => task.startsWith(id) && how === "failed");
      broken.push(
        `${queue}/${id} is shown as ${body.state}; of its runs ` +
          `${failedEnds.length} ended failed, and nobody has cancelled it`,
      );
    }
    return broken;
  },
);
