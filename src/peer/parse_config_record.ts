import * as v from "valibot";
import type { ConfigRecord } from "../core/config/config_record.ts";
import { ConfigRecordSchema } from "../schema/config_record_schema.ts";

/** Parses a record of the configuration stream; undefined if malformed. */
export function parseConfigRecord(raw: unknown): ConfigRecord | undefined {
  const record = v.safeParse(ConfigRecordSchema, raw);
  return record.success ? record.output as ConfigRecord : undefined;
}
