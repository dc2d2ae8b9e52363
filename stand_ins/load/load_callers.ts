import type { JobDefinition } from "../../src/core/jobs/job_definition.ts";
import type { JobId } from "../../src/core/jobs/job_id.ts";
import { parseTaskName } from "../../src/core/jobs/parse_task_name.ts";
import type { StepDefinition } from "../../src/core/jobs/step_definition.ts";
import type { TaskName } from "../../src/core/jobs/task_name.ts";
import type { RandomSource } from "../../src/core/random/random_source.ts";
import { SeededRandom } from "../seeded_random.ts";
import { plainStep } from "../plain_step.ts";
import type { LoadOptions } from "./load_options.ts";
import type { LoadResult } from "./load_result.ts";
import { UnevenTruth } from "./uneven_truth.ts";
import type { TaskTruth } from "./task_truth.ts";

type Kind = "plan" | "check" | "service";

interface LoadJob {
  readonly kind: Kind;
  readonly definition: JobDefinition;
  readonly truths: readonly TaskTruth[];
  readonly submittedAtMs: number;
  readonly objectiveMs: number;
  readonly coreMs: number;
  completedAtMs: number | undefined;
}

const serviceTargetMs = 18;
const plan = { stretch: 2, targetMs: 1_000 };
const check = { stretch: 1.5, targetMs: 250 };
/** Up to this many times its objective a job counts as late. */
const lateFactor = 3;
const lateShare = 0.15;
/** A job's worth is this plus the rest times its work against the mean. */
const fixedWorth = 0.3;
/** Estimates are off by up to this share. */
const estimateError = 0.5;

/** Submits jobs of all kinds and records when they are completed. */
export class LoadCallers {
  readonly jobs = new Map<JobId, LoadJob>();
  #planDebt = 0;
  #checkDebt = 0;
  #count = 0;

  /** Draws of its own leave the load as it is without parties. */
  readonly #partyRandom: RandomSource;

  constructor(
    readonly options: LoadOptions,
    readonly random: RandomSource,
    readonly uneven = new UnevenTruth(options.seed, options.uneven),
  ) {
    this.#partyRandom = new SeededRandom(options.seed);
  }

  /** The jobs of services, submitted before the others. */
  *firstJobs(): Generator<JobDefinition> {
    const { services } = this.options;
    for (let index = 0; index < services.jobs; index++) {
      yield this.#serviceJob(index);
    }
  }

  /** The jobs that are submitted in a step of time. */
  *submissions(nowMs: number, stepMs: number): Generator<JobDefinition> {
    const { plans, checks } = this.options;
    let factor = 1;
    for (const { fromMs, forMs, factor: times } of plans.bursts) {
      if (nowMs >= fromMs && nowMs < fromMs + forMs) factor *= times;
    }
    this.#planDebt += this.#arrivals(plans.perS * factor, stepMs);
    this.#checkDebt += this.#arrivals(checks.perS, stepMs);
    for (; this.#planDebt >= 1; this.#planDebt--) yield this.#planJob(nowMs);
    for (; this.#checkDebt >= 1; this.#checkDebt--) yield this.#checkJob(nowMs);
  }

  complete(id: JobId, nowMs: number): void {
    const job = this.jobs.get(id);
    if (job !== undefined) job.completedAtMs ??= nowMs;
  }

  /**
   * What the callers of one kind got, or one party of them, of jobs submitted
   * until `untilMs`.
   */
  result(
    kind: Kind,
    untilMs: number,
    isAdmitted: (id: JobId) => boolean,
    origin?: string,
  ): LoadResult["plans"] {
    const jobs = [...this.jobs.values()].filter((job) =>
      job.kind === kind && job.submittedAtMs < untilMs &&
      (origin === undefined || job.definition.origin === origin) &&
      !this.uneven.isDoomed(job.definition.id)
    );
    const meanCoreMs = jobs.reduce((sum, job) => sum + job.coreMs, 0) /
      Math.max(1, jobs.length);
    const times: number[] = [];
    const counts = { inAim: 0, late: 0, failed: 0, refused: 0 };
    let owed = 0;
    let earned = 0;
    for (const job of jobs) {
      const { submittedAtMs, completedAtMs, objectiveMs, coreMs } = job;
      const worth = fixedWorth + (1 - fixedWorth) * coreMs / meanCoreMs;
      owed += worth;
      const tookMs = (completedAtMs ?? Infinity) - submittedAtMs;
      times.push(tookMs);
      if (tookMs <= objectiveMs) {
        counts.inAim += 1;
        earned += worth;
      } else if (tookMs <= objectiveMs * lateFactor) {
        counts.late += 1;
        earned += worth * lateShare;
      } else if (isAdmitted(job.definition.id)) counts.failed += 1;
      else counts.refused += 1;
    }
    times.sort((a, b) => a - b);
    return {
      submitted: jobs.length,
      ...counts,
      worth: earned / Math.max(1, owed),
      medianMs: times[Math.floor(times.length / 2)] ?? 0,
    };
  }

  /** The truth of a task's run. */
  truthOf(name: TaskName, run: number): TaskTruth {
    const { job, step } = parseTaskName(name)!;
    const truth = this.jobs.get(job)!.truths[step]!;
    return this.uneven.runTruth(truth, job, name, run);
  }

  /** Poisson arrivals are close enough to a Bernoulli draw per short step. */
  #arrivals(perS: number, stepMs: number): number {
    const expected = perS * stepMs / 1_000;
    return Math.floor(expected) +
      (this.random.next() < expected % 1 ? 1 : 0);
  }

  #serviceJob(index: number): JobDefinition {
    const { width, cpuMilli, images, callerLoad, swing, swingMs } =
      this.options.services;
    const phase = this.random.next() * 2 * Math.PI;
    const baseLoad = callerLoad * (0.8 + 0.4 * this.random.next());
    const step = newStep({
      count: width,
      cpuMilli: Math.round(cpuMilli * (0.75 + 0.5 * this.random.next())),
      isService: true,
      image: `s${index % images}`,
      targetLatencyMs: serviceTargetMs,
    });
    const truth = {
      workMs: Infinity,
      callerLoad: (nowMs: number) =>
        baseLoad *
        (1 + swing * Math.sin(phase + 2 * Math.PI * nowMs / swingMs)),
    };
    return this.#add("service", [step], [truth], 0);
  }

  #planJob(nowMs: number): JobDefinition {
    const { steps, width, cpuMilli, taskMs, images } = this.options.plans;
    const image = `f${Math.floor(this.random.next() * images)}`;
    const definitions: StepDefinition[] = [];
    const truths: TaskTruth[] = [];
    const stepCount = 1 + Math.floor(this.random.next() * (2 * steps - 1));
    for (let index = 0; index < stepCount; index++) {
      const workMs = this.#around(taskMs);
      truths.push({ workMs, callerLoad: () => 0 });
      definitions.push(newStep({
        count: Math.max(1, Math.round(this.#around(width))),
        cpuMilli: Math.round(this.#around(cpuMilli)),
        expectedMs: this.#estimateOf(workMs),
        after: index === 0 ? [] : [index - 1],
        isFiller: true,
        savesProgress: true,
        image,
      }));
    }
    return this.#add("plan", definitions, truths, nowMs);
  }

  #checkJob(nowMs: number): JobDefinition {
    const { width, cpuMilli, taskMs } = this.options.checks;
    const workMs = this.#around(taskMs);
    const step = newStep({
      count: Math.max(1, Math.round(this.#around(width))),
      cpuMilli: Math.round(this.#around(cpuMilli)),
      expectedMs: this.#estimateOf(workMs),
    });
    const truths = [{ workMs, callerLoad: () => 0 }];
    return this.#add("check", [step], truths, nowMs);
  }

  #drawOrigin(): string | undefined {
    const { parties } = this.options;
    if (parties.length === 0) return undefined;
    let left = this.#partyRandom.next();
    for (const { origin, share } of parties) {
      left -= share;
      if (left < 0) return origin;
    }
    return parties[0]!.origin;
  }

  #around(mean: number): number {
    return mean * (0.4 + 1.2 * this.random.next());
  }

  #estimateOf(workMs: number): number {
    const error = estimateError * (2 * this.random.next() - 1);
    return Math.round(workMs * (1 + error));
  }

  #add(
    kind: Kind,
    steps: readonly StepDefinition[],
    truths: readonly TaskTruth[],
    nowMs: number,
  ): JobDefinition {
    this.#count += 1;
    const id = `${kind}${this.#count}` as JobId;
    const definition: JobDefinition = {
      id,
      queue: kind,
      payload: "",
      steps: steps.map((step, index) => {
        const program = step.image ?? kind;
        const factor = this.uneven.declaredFactor(program, id, index);
        return { ...step, expectedMs: Math.round(step.expectedMs * factor) };
      }),
      schedule: undefined,
      receivedMs: nowMs,
      origin: kind === "service" ? undefined : this.#drawOrigin(),
    };
    const { stretch, targetMs } = kind === "plan" ? plan : check;
    let chainMs = 0;
    let coreMs = 0;
    steps.forEach(({ count, resources }, index) => {
      const { workMs } = truths[index]!;
      chainMs += workMs;
      coreMs += count * workMs * resources.cpuMilli;
    });
    this.jobs.set(definition.id, {
      kind,
      definition,
      truths,
      submittedAtMs: nowMs,
      objectiveMs: stretch * chainMs + targetMs,
      coreMs,
      completedAtMs: undefined,
    });
    return definition;
  }
}

function newStep(
  { cpuMilli, ...change }:
    & Partial<StepDefinition>
    & { count: number; cpuMilli: number },
): StepDefinition {
  return plainStep({
    resources: { cpuMilli, memoryBytes: 2 ** 30, accelerators: 0 },
    expectedMs: 0,
    ...change,
  });
}
