import type { PeerAddressRow } from "../cellhost/peer_address_row.ts";
import type { Claim } from "../core/cell/claim.ts";
import type { Job } from "../core/cell/job.ts";
import type { JobState } from "../core/jobs/job_state.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import type { RunnerLife } from "../core/jobs/runner_life.ts";
import type { TaskPosition } from "../core/jobs/task_position.ts";
import { formatTaskName } from "../core/jobs/format_task_name.ts";
import type { TaskDetails } from "./task_details.ts";

/** What the stream of members says of the sidecar that holds a claim. */
interface Holder {
  readonly address: PeerAddressRow | undefined;
  readonly endedLife: RunnerLife | undefined;
}

/**
 * Details of a task, from its job as the store has it; `job` is undefined if
 * that cannot be read. Returns undefined if the job has no such task.
 */
export function describeTask(
  job: Job | undefined,
  position: TaskPosition,
  jobState: JobState,
  holderOf: (node: NodeId) => Holder,
): TaskDetails | undefined {
  const { occurrence, step, index } = position;
  const task = formatTaskName(position);
  const grep = `grep -hE "task=${task}( |\\"|$)" logs/* | sort`;
  const base = { task, jobState, grep };
  if (job === undefined) return { ...base, state: "unreadable" };
  const definition = job.definition.steps[step];
  if (definition === undefined || index >= definition.count) return undefined;
  if (occurrence >= job.occurrenceCount) return undefined;
  const found = job.taskAt(occurrence, step, index);
  if (found === undefined) return { ...base, state: "not_open" };
  const { run, failures, crashes, checkpoint, claim, isDone } = found;
  const groups = job.openOccurrences.get(occurrence)?.groups ?? [];
  const waitsForSteps = definition.after
    .filter((earlier) => groups[earlier]?.unfinishedCount !== 0);
  const state = isDone
    ? "done"
    : claim !== undefined
    ? "claimed"
    : waitsForSteps.length > 0
    ? "waits_for_steps"
    : "unclaimed";
  return {
    ...base,
    state,
    run,
    failures,
    crashes,
    checkpoint,
    claim: claim && describeClaim(claim, holderOf(claim.node)),
    waitsForSteps,
  };
}

function describeClaim(
  { node, life }: Claim,
  { address, endedLife }: Holder,
): TaskDetails["claim"] {
  return {
    worker: node,
    life,
    isMember: address !== undefined,
    hasLifeEnded: endedLife === life,
    endedLife,
    address: address && `${address.host}:${address.port}`,
  };
}
