import type { ConfigRecord } from "../core/config/config_record.ts";
import { ConfigState } from "../core/config/config_state.ts";
import type { ConfigVerdict } from "../core/config/config_verdict.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { Log } from "../core/log/log.ts";
import { configStream } from "../peer/config_stream.ts";
import { parseConfigRecord } from "../peer/parse_config_record.ts";

/** How many records one read of the log requests. */
const pageRecords = 1_000;

interface ConfigHistory {
  readonly state: ConfigState;
  /** The verdicts by the ids of the records. */
  readonly verdicts: ReadonlyMap<string, ConfigVerdict>;
  readonly records: readonly AppliedRecord[];
}

/** A record with the verdict that applying it gave. */
interface AppliedRecord {
  readonly offset: number;
  readonly record: ConfigRecord;
  readonly verdict: ConfigVerdict;
}

/** Reads the configuration stream and applies all records that it keeps. */
export async function readConfig(log: Log): Promise<ConfigHistory> {
  const { oldest, raw } = await readAll(log);
  const state = new ConfigState();
  const verdicts = new Map<string, ConfigVerdict>();
  const records: AppliedRecord[] = [];
  const parsed = raw.map(parseConfigRecord);
  const from = installStart(state, oldest, parsed);
  for (const [index, record] of parsed.entries()) {
    const offset = oldest + index;
    if (record === undefined || offset < from) continue;
    const verdict = state.apply(record, offset);
    verdicts.set(record.id, verdict);
    records.push({ offset, record, verdict });
  }
  return { state, verdicts, records };
}

/**
 * Returns the offset of the first record to apply. If the start of the stream
 * is trimmed, this installs the last restated configuration first.
 */
function installStart(
  state: ConfigState,
  oldest: number,
  records: readonly (ConfigRecord | undefined)[],
): number {
  if (oldest === 0) return 0;
  for (const record of records.toReversed()) {
    if (record?.kind !== "restated" || record.image.covers < oldest) continue;
    state.install(record.image);
    return record.image.covers;
  }
  throw new GpError("log_unavailable", "no whole configuration is kept");
}

async function readAll(log: Log): Promise<{ oldest: number; raw: unknown[] }> {
  const raw: unknown[] = [];
  let page = await log.read(configStream, 0, pageRecords);
  const oldest = page.from;
  while (true) {
    raw.push(...page.records);
    const next = oldest + raw.length;
    if (next >= page.end) return { oldest, raw };
    page = await log.read(configStream, next, pageRecords);
  }
}
