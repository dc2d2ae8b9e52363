import type { JobId } from "../../src/core/jobs/job_id.ts";
import type { RandomSource } from "../../src/core/random/random_source.ts";
import type { SoakJob } from "./soak_job.ts";

const idDigits = 16;
const failingShare = 0.3;

/** Draws a job whose tasks run until it is cancelled. */
export function drawLastingJob(random: RandomSource): SoakJob {
  const upTo = (max: number) => Math.floor(random.next() * (max + 1));
  const digit = () => upTo(15).toString(16);
  const id = Array.from({ length: idDigits }, digit).join("") as JobId;
  const steps = Array.from({ length: 1 + upTo(1) }, () => ({
    count: 1 + upTo(2),
    after: [],
    cpuMilli: 100 + 100 * upTo(4),
    ms: random.next() < failingShare ? 3_000 + 1_000 * upTo(6) : Infinity,
    lasts: true,
    mostPerRunner: upTo(2),
  }));
  return {
    id,
    payload: `p${id}`,
    steps,
    crashesRunners: false,
    isAccepted: false,
    isRefused: false,
    isCancelled: false,
    hasRun: false,
    state: "none",
  };
}
