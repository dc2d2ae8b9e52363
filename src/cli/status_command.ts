import { HttpPools } from "../adapters/http_pools.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { PeerInfo } from "../core/members/peer_info.ts";
import { parseEndpoint } from "./parse_endpoint.ts";
import { print } from "./print.ts";

const timeoutMs = 3_000;

/** The part of an entry's `/status` response that is printed. */
interface Status {
  readonly configRevision: number;
  readonly processes: readonly (PeerInfo & { readonly heardMsAgo: number })[];
}

/** `gypsumpond status`: prints the processes and the revision each has. */
export async function statusCommand(entry: string): Promise<void> {
  const pools = new HttpPools(1);
  try {
    const endpoint = parseEndpoint(entry);
    const response = await pools.requestJson(
      endpoint,
      "GET",
      "/status",
      undefined,
      timeoutMs,
    );
    const status = response.body as Status;
    const newest = Math.max(...status.processes.map((p) => p.configRevision));
    for (const process of status.processes) print(lineOf(process, newest));
    const outdated = status.processes.filter((p) => p.configRevision < newest);
    print(
      `processes=${status.processes.length} revision=${newest} behind=${outdated.length}`,
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
