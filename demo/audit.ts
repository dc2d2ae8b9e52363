import { HttpLog } from "../src/adapters/http_log.ts";
import { HttpPools } from "../src/adapters/http_pools.ts";
import { readCellLedger } from "../src/keeper/read_cell_ledger.ts";
import type { CellId } from "../src/schema/cell_id.ts";
import type { Fleet } from "../stand_ins/fleet/fleet.ts";
import type { AuditResult } from "./audit_result.ts";

/** Compares the accepted jobs with the log, and asks the runners what ran. */
export async function audit(
  fleet: Fleet,
  accepted: readonly string[],
): Promise<AuditResult> {
  const pools = new HttpPools(1);
  const log = new HttpLog({ host: "127.0.0.1", port: fleet.logPort }, pools);
  const finishCounts = new Map<string, number>();
  let reclaims = 0;
  const ledger = await readCellLedger(log, fleet.cell as CellId, (judged) => {
    const { record, verdict } = judged;
    if (!verdict.accepted) return;
    if (record.kind === "reclaimed") reclaims += 1;
    if (record.kind !== "finished") return;
    finishCounts.set(record.task, (finishCounts.get(record.task) ?? 0) + 1);
  });
  await pools.close();
  const tasks = [...ledger.tasks.values()];
  const lost = accepted.filter((id) => {
    const row = [...ledger.jobs.values()].find(({ job }) => job.id === id);
    return row === undefined || row.unfinished > 0;
  });
  return {
    finished: accepted.length - lost.length,
    lost,
    finishedTwice: [...finishCounts].filter(([, count]) => count > 1).map((
      [id],
    ) => id),
    evictions: tasks.reduce((sum, task) => sum + task.evictions, 0),
    reclaims,
    epochs: ledger.epoch?.number ?? 0,
    ran: await readMarkerCounts(fleet),
  };
}

async function readMarkerCounts(fleet: Fleet): Promise<Map<string, number>> {
  const markerCounts = new Map<string, number>();
  for (const { runnerPort } of fleet.hosts) {
    try {
      const answer = await fetch(`http://127.0.0.1:${runnerPort}/truth`);
      const truth = await answer.json() as { ran: Record<string, number> };
      for (const [marker, count] of Object.entries(truth.ran)) {
        markerCounts.set(marker, (markerCounts.get(marker) ?? 0) + count);
      }
    } catch {
      continue;
    }
  }
  return markerCounts;
}
