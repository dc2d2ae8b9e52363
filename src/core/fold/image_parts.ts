import type { CellImage } from "./cell_image.ts";
import type { CellLedger } from "./cell_ledger.ts";

/** Copies the ledger in parts of at most `rowsPerPart` rows of each kind. */
export function* imageParts(
  ledger: CellLedger,
  rowsPerPart: number,
): Generator<CellImage> {
  const workers = [...ledger.workers.values()].map(
    ({ tasks: _tasks, used: _used, ...row }) => row,
  );
  const jobs = [...ledger.jobs.values()].map((row) => ({ ...row }));
  const tasks = [...ledger.tasks.values()].map((row) => ({ ...row }));
  const accounts = [...ledger.accounts.values()].map((row) => ({ ...row }));
  const epoch = ledger.epoch;
  const total = Math.max(
    workers.length,
    jobs.length,
    tasks.length,
    accounts.length,
    1,
  );
  for (let from = 0; from < total; from += rowsPerPart) {
    const to = from + rowsPerPart;
    yield {
      ...(epoch === undefined ? {} : { epoch }),
      workers: workers.slice(from, to),
      jobs: jobs.slice(from, to),
      tasks: tasks.slice(from, to),
      accounts: accounts.slice(from, to),
    };
  }
}
