import type { Resources } from "../../schema/resources.ts";

/** Whether every resource of the need fits in the room. */
export function fits(need: Resources, room: Resources): boolean {
  return need.cpuMilli <= room.cpuMilli &&
    need.memoryBytes <= room.memoryBytes &&
    need.accelerators <= room.accelerators;
}
