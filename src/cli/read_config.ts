import * as v from "valibot";
import type { ConfigRecord } from "../core/config/config_record.ts";
import { ConfigState } from "../core/config/config_state.ts";
import type { ConfigVerdict } from "../core/config/config_verdict.ts";
import type { Log } from "../core/log/log.ts";
import { ConfigRecordSchema } from "../schema/config_record_schema.ts";

const stream = "config";
const pageRecords = 1_000;

interface ReadConfig {
  readonly state: ConfigState;
  readonly verdicts: ReadonlyMap<string, ConfigVerdict>;
  readonly records: readonly {
    readonly offset: number;
    readonly record: ConfigRecord;
    readonly verdict: ConfigVerdict;
  }[];
}

/** Reads all that the log keeps of the configuration. */
export async function readConfig(log: Log): Promise<ReadConfig> {
  const state = new ConfigState();
  const verdicts = new Map<string, ConfigVerdict>();
  const records = [];
  let next = 0;
  let end = 1;
  while (next < end) {
    const page = await log.read(stream, next, pageRecords);
    next = page.from;
    end = page.end;
    for (const raw of page.records) {
      const checked = v.safeParse(ConfigRecordSchema, raw);
      const offset = next++;
      if (!checked.success) continue;
      const record = checked.output as ConfigRecord;
      const verdict = state.apply(record, offset);
      verdicts.set(record.id, verdict);
      records.push({ offset, record, verdict });
    }
  }
  return { state, verdicts, records };
}
