/** Fields of a task's input that set how the stand-in for a worker runs it. */
export interface TaskBehaviour {
  /** Run time, where it differs from the estimate in the command. */
  readonly actualRunMs?: number;
  /** Use, where it differs from what was reserved. */
  readonly usesCpuMilli?: number;
  readonly usesMemoryBytes?: number;
  /** The attempt fails at its end. */
  readonly fails?: boolean;
  /** The worker refuses to start the attempt. */
  readonly refused?: boolean;
}
