import type { Resources } from "../../schema/resources.ts";
import type { TaskId } from "../../schema/task_id.ts";

interface AttemptRef {
  readonly task: TaskId;
  readonly attempt: number;
}

/** One operation on an attempt; repeating it has no further effect. */
export type WorkerOp =
  | (AttemptRef & {
    readonly op: "start";
    readonly template: string;
    readonly reserved: Resources;
    readonly runMs: number;
    readonly checkpoint?: string;
    readonly input: unknown;
  })
  | (AttemptRef & { readonly op: "renew" })
  | (AttemptRef & { readonly op: "stop" })
  | (AttemptRef & { readonly op: "forget" })
  | (AttemptRef & { readonly op: "throttle"; readonly share: number });
