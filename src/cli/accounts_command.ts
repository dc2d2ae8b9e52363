import type { CellId } from "../schema/cell_id.ts";
import { readCellLedger } from "../keeper/read_cell_ledger.ts";
import { withLog } from "./with_log.ts";
import { print } from "./print.ts";

const milliPerCore = 1_000;
const bytesPerGib = 2 ** 30;

/** `gypsumpond accounts`: prints what each member used, by pool and term. */
export async function accountsCommand(
  cells: readonly string[],
  logAddress: string,
): Promise<void> {
  for (const cell of cells) {
    const ledger = await withLog(
      logAddress,
      (log) => readCellLedger(log, cell as CellId),
    );
    for (const row of ledger.accounts.values()) {
      const cores = Math.round(row.cpuMilliSeconds / milliPerCore);
      const memory = Math.round(row.memoryByteSeconds / bytesPerGib);
      const accelerators = Math.round(row.acceleratorSeconds);
      print(
        `cell=${cell} member=${row.member} pool=${row.pool} term=${row.term} ` +
          `coreSeconds=${cores} memoryGbSeconds=${memory} ` +
          `acceleratorSeconds=${accelerators} finishedTasks=${row.finishedTasks} ` +
          `evictions=${row.evictions}`,
      );
    }
  }
}
