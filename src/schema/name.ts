import * as v from "valibot";

/** A name or id as it may appear in files, addresses and records. */
export const Name = v.pipe(
  v.string(),
  v.regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/,
    "expected 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit",
  ),
);
