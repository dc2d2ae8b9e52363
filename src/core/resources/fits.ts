import type { Resources } from "../../schema/resources.ts";

/** Whether the need is within the room, resource by resource. */
export function fits(need: Resources, room: Resources): boolean {
  return need.cpuMilli <= room.cpuMilli &&
    need.memoryBytes <= room.memoryBytes &&
    need.accelerators <= room.accelerators;
}
