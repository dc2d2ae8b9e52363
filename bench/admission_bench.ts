import type { JobDefinition } from "../src/core/jobs/job_definition.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import { LoadAdmission } from "../src/core/queueing/load_admission.ts";
import { plainQueue } from "../stand_ins/plain_queue.ts";
import { plainStep } from "../stand_ins/plain_step.ts";

/**
 * Prints what one admission costs with a full summary, 300 jobs stored since,
 * and up to 10,000 promised returns.
 */
const decisions = 20_000;
const storedJobs = 300;
const places = Array.from(
  { length: 16 },
  (_, index) => [0, index, (index + 1) * 1e9] as const,
);
const load = { capacityMilli: 4_000, freeMilli: 0, runningMilliMs: 0, places };
const classes = { reserved: load, filler: load };
const pools = [{ pool: "pool", capacityMilli: 4_000, freeMilli: 0, classes }];
const steps = [plainStep({ count: 20 }), plainStep({ count: 20, after: [0] })];
const admission = new LoadAdmission();
admission.setQueues([plainQueue({ maxAttempts: 1 })]);
admission.receive({ atMs: 0, pools }, 0);
const newJob = (id: number): JobDefinition => ({
  id: `${id}` as JobId,
  queue: "q",
  payload: "",
  steps,
  schedule: undefined,
  receivedMs: 1,
});
for (let id = 0; id < storedJobs; id++) admission.noteStored(newJob(-id));
const jobs = Array.from({ length: decisions }, (_, id) => newJob(id));
const beganMs = performance.now();
let refusals = 0;
for (const job of jobs) {
  if (admission.decide(job, 0).kind === "refuse") refusals += 1;
}
const tookUs = (performance.now() - beganMs) * 1_000 / decisions;
console.log(`${refusals} refusals, ${tookUs.toFixed(1)} us per admission`);
