import { streams } from "../cellhost/streams.ts";
import { evacuationKey } from "../core/evacuate/evacuation_key.ts";
import { isZone } from "../core/evacuate/is_zone.ts";
import type { Store } from "../core/store/store.ts";
import type { CommandOutcome } from "./command_outcome.ts";
import { exitCodes } from "./exit_codes.ts";

const timeoutMs = 2_000;

/** Requests the evacuation of a data centre, or revokes it. */
export async function writeEvacuation(
  store: Store,
  zone: string,
  isRequested: boolean,
  wallMs: number,
): Promise<CommandOutcome> {
  if (!isZone(zone)) {
    return { text: `not a data centre: ${zone}`, exitCode: exitCodes.usage };
  }
  const value = isRequested
    ? JSON.stringify({ requestedAtMs: wallMs })
    : undefined;
  const rows = [{ key: evacuationKey(zone), value }];
  const guard = { kind: "none" } as const;
  const result = await store.append(streams.operator, rows, guard, timeoutMs);
  if (result.isOk) {
    const text = isRequested ? `${zone} is evacuated` : `${zone} is open again`;
    return { text, exitCode: exitCodes.done };
  }
  const { error } = result;
  const detail = "detail" in error ? error.detail : error.kind;
  if (error.kind === "rejected") {
    const text = `the store does not allow this write (${detail}); ` +
      `nothing has changed`;
    return { text, exitCode: exitCodes.writeRefused };
  }
  const text = error.kind === "unknown"
    ? `no answer from the store (${detail}): the write may have taken effect; ` +
      `run the command again`
    : `the store did not take the write (${detail}); nothing has changed`;
  return { text, exitCode: exitCodes.storeUnreachable };
}
