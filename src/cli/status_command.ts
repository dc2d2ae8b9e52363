import { HttpPools } from "../adapters/http_pools.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { PeerInfo } from "../core/members/peer_info.ts";
import { parseEndpoint } from "./parse_endpoint.ts";
import { print } from "./print.ts";

const timeoutMs = 3_000;

interface Status {
  readonly configRevision: number;
  readonly processes: readonly (PeerInfo & { readonly heardMsAgo: number })[];
}

/** `gypsumpond status`: the processes and the revision each has in force. */
export async function statusCommand(entry: string): Promise<void> {
  const pools = new HttpPools(1);
  try {
    const endpoint = parseEndpoint(entry);
    const answer = await pools.requestJson(
      endpoint,
      "GET",
      "/status",
      undefined,
      timeoutMs,
    );
    const status = answer.body as Status;
    const newest = Math.max(...status.processes.map((p) => p.configRevision));
    for (const process of status.processes) print(lineOf(process, newest));
    const behind = status.processes.filter((p) => p.configRevision < newest);
    print(
      `processes=${status.processes.length} revision=${newest} behind=${behind.length}`,
    );
  } catch (cause) {
    throw new GpError(
      "runner_unreachable",
      `entry ${entry}: ${(cause as Error).message}`,
    );
  } finally {
    await pools.close();
  }
}

function lineOf(
  process: Status["processes"][number],
  newest: number,
): string {
  const { id, role, dataCentre, state, configRevision, heardMsAgo } = process;
  const behind = newest - configRevision;
  const parts = [
    `id=${id} role=${role} dataCentre=${dataCentre} state=${state}`,
    `revision=${configRevision} behind=${behind} heardMsAgo=${heardMsAgo}`,
  ];
  const { runner, keeper, cell } = process;
  if (runner) {
    parts.push(
      `service=${runner.service} inFlight=${runner.inFlight} limit=${runner.limit}`,
    );
  }
  if (keeper) parts.push(`keeperOf=${cell} epoch=${keeper.epoch}`);
  return parts.join(" ");
}
