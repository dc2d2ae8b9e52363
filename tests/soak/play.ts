import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { SeededRandom } from "../../stand_ins/seeded_random.ts";
import { Callers } from "./callers.ts";
import { callersHost } from "./callers_host.ts";
import { Faults } from "./faults.ts";
import { Installation } from "./installation.ts";
import { Judge } from "./judge.ts";

const submitEveryMs = 250;
const askEveryMs = 300;
const settleMs = 1_500;
/** All that was accepted ends within this after the last fault. */
const finishMs = 30_000;
/** The faults' numbers are another series than the callers'. */
const faultSeeds = 1_000_003;

const configuration = {
  version: 1,
  routes: [{
    name: "q",
    host: callersHost,
    pathPrefix: "/q/",
    service: "pool",
    priority: 0,
    maxAttempts: 100,
    stretch: 2,
    targetCompletionMs: 1_000,
  }],
};

interface Played {
  readonly broken: readonly string[];
  readonly jobs: number;
  readonly accepted: number;
  readonly notes: readonly string[];
  readonly folder: string;
}

/** Plays one seed: real processes on loopback, faults, then time to finish. */
export async function play(seed: number, forMs: number): Promise<Played> {
  const folder = mkdtempSync(join(tmpdir(), `soak-${seed}-`));
  const judge = new Judge();
  const installation = new Installation(seed, folder, judge);
  const notes: string[] = [];
  try {
    await installation.start(configuration);
    await sleep(settleMs);
    await serve(installation, judge, seed, forMs, notes);
  } finally {
    await installation.close();
  }
  judge.close();
  const jobs = [...judge.jobs.values()];
  const accepted = jobs.filter(({ isAccepted }) => isAccepted).length;
  return { broken: judge.broken, jobs: jobs.length, accepted, notes, folder };
}

async function serve(
  { store, runners, processes, fronts }: Installation,
  judge: Judge,
  seed: number,
  forMs: number,
  notes: string[],
): Promise<void> {
  const startedAtMs = performance.now();
  const note = (line: string) =>
    notes.push(`${Math.round(performance.now() - startedAtMs)} ms: ${line}`);
  const callers = new Callers(fronts, judge, new SeededRandom(seed));
  const drawn = new SeededRandom(seed + faultSeeds);
  const faults = new Faults(store, runners, processes, drawn, note);
  const handedIn: Promise<void>[] = [];
  const submitting = setInterval(
    () => handedIn.push(callers.submit()),
    submitEveryMs,
  );
  await faults.run(forMs);
  clearInterval(submitting);
  await Promise.all(handedIn);
  const untilMs = performance.now() + finishMs;
  while (performance.now() < untilMs && !await callers.ask()) {
    await sleep(askEveryMs);
  }
}
