import type { CallKind } from "./call_kind.ts";
import type { GateContext } from "./gate_context.ts";
import type { RunnerResult } from "./runner_result.ts";

interface AnsweredCall<T> {
  readonly answer: RunnerResult<T>;
  /** When the call was sent, after its wait for a slot. */
  readonly sentAtMs: number;
}

/**
 * Calls the runner once there is a slot for it; returns undefined if the call was
 * not needed any more then.
 */
export async function callRunner<T>(
  { clock, slots }: Pick<GateContext, "clock" | "slots">,
  kind: CallKind,
  isNeeded: () => boolean,
  call: () => Promise<RunnerResult<T>>,
): Promise<AnsweredCall<T> | undefined> {
  return await slots.run(kind, async () => {
    if (!isNeeded()) return undefined;
    const sentAtMs = clock.nowMs();
    return { answer: await call(), sentAtMs };
  });
}
