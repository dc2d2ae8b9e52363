import * as v from "valibot";

const maxPort = 65_535;

/** The row of a process at whose address its keeper connects. */
export const MemberRow = v.object({
  role: v.picklist(["entry", "sidecar"]),
  host: v.pipe(v.string(), v.regex(/^[\w.:%-]{1,255}$/)),
  port: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(maxPort)),
  incarnation: v.string(),
  strength: v.pipe(v.number(), v.minValue(0), v.maxValue(1)),
});
