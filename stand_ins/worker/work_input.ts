/** What a task's input may tell the worker stand-in of its real behaviour. */
export interface WorkInput {
  readonly actualRunMs?: number;
  readonly usesCpuMilli?: number;
  readonly usesMemoryBytes?: number;
  readonly fails?: boolean;
  readonly refused?: boolean;
}
