/** A task's name: job, occurrence, step and index, joined by dots. */
export type TaskName = string & { readonly __brand: "TaskName" };
