import { err, ok, type Result } from "true-myth/result";
import type { Store } from "../core/store/store.ts";
import type { StoredRow } from "../core/store/stored_row.ts";
import type { StoreFailure } from "../core/store/store_failure.ts";

/**
 * Reads the newest row of each key of a stream. A key may come up on several
 * pages, since they are no snapshot; its highest offset counts.
 */
export async function readNewestRows(
  store: Store,
  stream: string,
): Promise<Result<ReadonlyMap<string, StoredRow>, StoreFailure>> {
  const newest = new Map<string, StoredRow>();
  let after: string | undefined;
  do {
    const page = await store.readNewest(stream, after);
    if (page.isErr) return err(page.error);
    for (const row of page.value.rows) {
      const known = newest.get(row.key);
      if (known === undefined || known.offset < row.offset) {
        newest.set(row.key, row);
      }
    }
    after = page.value.more;
  } while (after !== undefined);
  return ok(newest);
}
