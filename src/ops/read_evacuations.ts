import { err, ok, type Result } from "true-myth/result";
import { unknown } from "valibot";
import { evacuationRowKey } from "../cellhost/evacuation_row_key.ts";
import { streams } from "../cellhost/streams.ts";
import { EvacuationRows } from "../core/evacuate/evacuation_rows.ts";
import type { Store } from "../core/store/store.ts";
import type { StoreFailure } from "../core/store/store_failure.ts";
import { parseRow } from "../schema/rows/parse_row.ts";
import { readNewestRows } from "./read_newest_rows.ts";

interface Evacuations {
  readonly requested: readonly string[];
  /** Keys of rows that no process applies. */
  readonly ignored: readonly string[];
  /** What the keeper last stored; undefined if it never did. */
  readonly observed: unknown;
}

/** Reads which data centres are to be evacuated, and how far that is. */
export async function readEvacuations(
  store: Store,
): Promise<Result<Evacuations, StoreFailure>> {
  const operator = await readNewestRows(store, streams.operator);
  if (operator.isErr) return err(operator.error);
  const cell = await readNewestRows(store, streams.cell);
  if (cell.isErr) return err(cell.error);
  const rows = new EvacuationRows();
  const ignored: string[] = [];
  for (const change of rows.apply([...operator.value.values()])) {
    if (change.kind === "ignored") ignored.push(change.key);
  }
  const value = cell.value.get(evacuationRowKey)?.value;
  const observed = value === undefined
    ? undefined
    : parseRow(unknown(), value).unwrapOr(undefined);
  return ok({ requested: [...rows.zones], ignored, observed });
}
