import * as v from "valibot";
import { Name } from "./name.ts";

/** Identifies a member: a party on whose behalf requests and jobs run. */
export const MemberId = v.pipe(Name, v.brand("MemberId"));
export type MemberId = v.InferOutput<typeof MemberId>;
