import * as v from "valibot";

const Timestamp = v.pipe(
  v.string(),
  v.isoTimestamp("expected an ISO 8601 time with a zone"),
);

/** The fixed period for which a venture exists. */
export const Term = v.pipe(
  v.strictObject({ name: v.string(), startsAt: Timestamp, endsAt: Timestamp }),
  v.check(
    (term) => Date.parse(term.startsAt) < Date.parse(term.endsAt),
    "expected startsAt before endsAt",
  ),
);
export type Term = v.InferOutput<typeof Term>;
