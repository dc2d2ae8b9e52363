import type { StepDefinition } from "../../src/core/jobs/step_definition.ts";
import type { TaskName } from "../../src/core/jobs/task_name.ts";

/** A task of a service that is to run, as the runners show it. */
export interface ServiceTask {
  readonly name: TaskName;
  readonly step: StepDefinition;
  readonly isRunning: boolean;
  /** When its job was submitted. */
  readonly submittedAtMs: number;
}
