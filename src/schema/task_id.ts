import * as v from "valibot";

/** Identifies one task of a job: `JOB/INDEX`. */
export const TaskId = v.pipe(
  v.string(),
  v.regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}\/\d{1,5}$/, "expected JOB/INDEX"),
  v.brand("TaskId"),
);
export type TaskId = v.InferOutput<typeof TaskId>;
