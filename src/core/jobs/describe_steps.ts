import type { JobDefinition } from "./job_definition.ts";
import type { StepDefinition } from "./step_definition.ts";

const bytesPerMb = 1_048_576;

/** Describes a job's steps in one line, for logs. */
export function describeSteps({ steps, schedule }: JobDefinition): string {
  const repetitions = schedule === undefined ? "" : `${schedule.count}*`;
  return repetitions + steps.map(describeStep).join("+");
}

function describeStep(step: StepDefinition): string {
  const { cpuMilli, memoryBytes, accelerators } = step.resources;
  const memoryMb = Math.round(memoryBytes / bytesPerMb);
  const words = [
    `${step.count}x${cpuMilli}m/${memoryMb}MB/${Math.round(step.expectedMs)}ms`,
    accelerators > 0 ? `acc=${accelerators}` : "",
    step.isService ? `service<${step.targetLatencyMs}ms` : "",
    step.isFiller ? "filler" : "",
    step.image === undefined ? "" : `image=${step.image}`,
    step.isGang ? "gang" : "",
    step.sameRack ? "same_rack" : "",
    step.label === undefined ? "" : `label=${step.label}`,
    step.dataRack === undefined ? "" : `data=${step.dataRack}`,
    step.mostPerWorker === 0 ? "" : `apart=${step.mostPerWorker}`,
    step.isSpeculative ? "speculative" : "",
    step.savesProgress ? "saves" : "",
    step.mostAway === 0 ? "" : `away=${step.mostAway}`,
  ];
  return words.filter((word) => word !== "").join(",");
}
