/** A task's name: job id, occurrence, step and index, joined by dots. */
export type TaskName = string & { readonly __brand: "TaskName" };
