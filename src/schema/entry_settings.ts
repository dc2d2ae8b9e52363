import * as v from "valibot";
import { CommonSettings } from "./common_settings.ts";
import { Endpoint } from "./endpoint.ts";
import { PositiveInteger } from "./positive_integer.ts";

/** Settings of an entry. */
export const EntrySettings = v.strictObject({
  ...CommonSettings,
  callers: Endpoint,
  maxBodyBytes: v.optional(PositiveInteger, 65_536),
});
export type EntrySettings = v.InferOutput<typeof EntrySettings>;
