import type { Resources } from "../../schema/resources.ts";
import type { TaskId } from "../../schema/task_id.ts";

interface OfAttempt {
  readonly task: TaskId;
  readonly attempt: number;
}

/** One operation on a worker; idempotent by task and attempt. */
export type WorkerOp =
  | (OfAttempt & {
    readonly op: "start";
    readonly template: string;
    readonly reserved: Resources;
    readonly runMs: number;
    readonly checkpoint?: string;
    readonly input: unknown;
  })
  | (OfAttempt & { readonly op: "renew" })
  | (OfAttempt & { readonly op: "stop" })
  | (OfAttempt & { readonly op: "forget" })
  | (OfAttempt & { readonly op: "throttle"; readonly share: number });
