import type { StartCommand } from "../core/cell/start_command.ts";
import type { StartRefusal } from "../core/cell/start_refusal.ts";
import type { GateContext } from "./gate_context.ts";
import { hasRoom } from "./has_room.ts";
import { lifeOf } from "./life_of.ts";
import type { Run } from "./run.ts";

/** Why a gate refuses a start beside its present runs; undefined if it does not. */
export function refusalReason(
  context: GateContext,
  runs: readonly Run[],
  start: StartCommand,
): StartRefusal | undefined {
  const { clock, lastHeartbeat: last, isDraining, isUp, lease, startWindow } =
    context;
  if (last === undefined || start.life !== lifeOf(last)) return "other_life";
  if (startWindow.isEvacuated) return "evacuated";
  const nowMs = clock.nowMs();
  if (!startWindow.isOpen(nowMs, nowMs)) return "late";
  if (isDraining) return "draining";
  if (!isUp || lease.endClockMs === undefined) return "unhealthy";
  return hasRoom(last.capacity, runs, start) ? undefined : "no_room";
}
