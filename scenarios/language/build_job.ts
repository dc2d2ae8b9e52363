import type { Job } from "../../src/schema/job.ts";
import type { JobId } from "../../src/schema/job_id.ts";
import type { MemberId } from "../../src/schema/member_id.ts";
import { parseDuration } from "./parse_duration.ts";
import type { Statement } from "./statement.ts";

const bytesPerGb = 2 ** 30;
/** End of the job's term; no scenario reaches it. */
const farFutureMs = 1e15;

/** Builds the job that a `submit` or `burst` statement describes. */
export function buildJob(id: string, { args, words }: Statement): Job {
  const number = (key: string, defaultValue: number): number =>
    Number(args.get(key) ?? defaultValue);
  const optionalNumber = (key: string, unit: number): number | undefined =>
    args.has(key) ? Number(args.get(key)) * unit : undefined;
  const actualRun = args.get("actual");
  const racks = args.get("rack");
  return {
    id: id as JobId,
    member: (args.get("member") ?? "m1") as MemberId,
    template: args.get("template") ?? id,
    pool: "pool",
    term: "term",
    urgent: words.includes("urgent"),
    tasks: number("tasks", 1),
    needs: {
      cpuMilli: number("cpu", 1) * 1_000,
      memoryBytes: number("memory", 1) * bytesPerGb,
      accelerators: number("accelerators", 0),
    },
    workers: racks ? [{ label: "rack", in: racks.split(",") }] : [],
    runMs: parseDuration(args.get("run") ?? "2s"),
    maxAttempts: number("max-attempts", 5),
    maxEvictions: number("max-evictions", 3),
    endsAtMs: farFutureMs,
    input: {
      ...(actualRun ? { actualRunMs: parseDuration(actualRun) } : {}),
      ...(words.includes("fails") ? { fails: true } : {}),
      ...(words.includes("refused") ? { refused: true } : {}),
      usesCpuMilli: optionalNumber("uses-cpu", 1_000),
      usesMemoryBytes: optionalNumber("uses-memory", bytesPerGb),
    },
  };
}
