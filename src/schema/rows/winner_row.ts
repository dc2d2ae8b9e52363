import * as v from "valibot";
import type { ElectionRow } from "../../cellhost/election_row.ts";

/** The row of the winner of an election. */
export const WinnerRow = v.pipe(
  v.object({
    node: v.pipe(v.string(), v.minLength(1)),
    incarnation: v.string(),
  }),
  v.transform((row) => row as ElectionRow),
);
