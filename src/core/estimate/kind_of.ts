import type { TaskGroup } from "../cell/task_group.ts";

/** Tasks that differ by less than about this factor in size are of one kind. */
const sizeFactor = 4;

/** The key of a group's kind: its queue, shape of step and image. */
export function kindOf({ job, definition }: TaskGroup): string {
  const { image = "", isFiller, savesProgress, resources } = definition;
  const size = Math.round(
    Math.log(Math.max(1, resources.cpuMilli)) / Math.log(sizeFactor),
  );
  const shape = `${isFiller ? "f" : "p"}${savesProgress ? "s" : "n"}${size}`;
  return `${job.definition.queue} ${shape} ${image}`;
}
