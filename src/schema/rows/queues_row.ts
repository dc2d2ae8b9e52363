import * as v from "valibot";
import type { Queue } from "../../core/jobs/queue.ts";
import { Amount } from "./amount.ts";
import { Count } from "./count.ts";

const QueueFields = v.object({
  name: v.string(),
  pool: v.string(),
  priority: Count,
  maxAttempts: Count,
  stretch: Amount,
  targetMs: Amount,
  advice: v.optional(v.object({
    decideMs: Amount,
    perWorkerMs: Amount,
    validMs: Amount,
  })),
});

/** The row of the queues that a keeper knows. */
export const QueuesRow = v.object({
  queues: v.array(
    v.pipe(
      QueueFields,
      v.transform((queue): Queue => ({ ...queue, advice: queue.advice })),
    ),
  ),
});
