import * as v from "valibot";
import { MemberId } from "./member_id.ts";

/** A party of the venture and its share of the instances. */
export const Member = v.strictObject({
  name: MemberId,
  quotaShare: v.pipe(v.number(), v.gtValue(0), v.maxValue(1)),
});
export type Member = v.InferOutput<typeof Member>;
