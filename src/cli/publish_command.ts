import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { diffConfig } from "../core/config/diff_config.ts";
import type { ConfigRecord } from "../core/config/config_record.ts";
import type { ConfigVerdict } from "../core/config/config_verdict.ts";
import { itemKey } from "../core/config/item_key.ts";
import { configurationItems } from "../core/config/configuration_items.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { Log } from "../core/log/log.ts";
import { configStream } from "../peer/config_stream.ts";
import { loadConfiguration } from "./load_configuration.ts";
import { withLog } from "./with_log.ts";
import { print } from "./print.ts";
import { readConfig } from "./read_config.ts";

/** How many times the log is read for the verdict on an appended record. */
const verdictReads = 10;
const verdictReadEveryMs = 500;

interface PublishOptions {
  readonly file: string;
  readonly log: string;
  readonly by: string;
  readonly basedOn: number | undefined;
}

/** `gypsumpond publish`: puts the configuration of a file in force. */
export async function publishCommand(options: PublishOptions): Promise<void> {
  const wanted = [...configurationItems(loadConfiguration(options.file))];
  await withLog(options.log, async (log) => {
    const current = await readConfig(log);
    const change = diffConfig(current.state, wanted);
    if (change.puts.length + change.removes.length === 0) {
      print(`nothing to change, revision=${current.state.revision}`);
      return;
    }
    for (const item of change.puts) print(`put ${itemKey(item)}`);
    for (const key of change.removes) print(`remove ${key}`);
    const record: ConfigRecord = {
      kind: "published",
      id: randomUUID(),
      by: options.by,
      atMs: Date.now(),
      basedOn: options.basedOn ?? current.state.revision,
      ...change,
    };
    reportVerdict(await publish(log, record));
  });
}

/**
 * Appends the record and reads the verdict on it from the log, even if the
 * append got no response.
 */
async function publish(
  log: Log,
  record: Extract<ConfigRecord, { kind: "published" }>,
): Promise<ConfigVerdict> {
  try {
    await log.append(configStream, [record]);
  } catch (cause) {
    if (GpError.from(cause).kind !== "outcome_unknown") throw cause;
    print("no response to the append; reading the log for the outcome");
  }
  for (let attempt = 1; attempt <= verdictReads; attempt++) {
    const verdict = await findVerdict(log, record.id);
    if (verdict !== undefined) return verdict;
    await delay(verdictReadEveryMs);
  }
  throw new GpError("outcome_unknown", "the record is not in the log yet");
}

async function findVerdict(
  log: Log,
  id: string,
): Promise<ConfigVerdict | undefined> {
  try {
    return (await readConfig(log)).verdicts.get(id);
  } catch {
    return undefined;
  }
}

function reportVerdict(verdict: ConfigVerdict): void {
  if (verdict.accepted) {
    print(`published revision=${verdict.revision}`);
    return;
  }
  if (verdict.reason === "invalid") {
    throw new GpError("bad_configuration", verdict.problem);
  }
  const { key, by, revision } = verdict;
  const detail = `${key} was changed by ${by} in revision ${revision}`;
  throw new GpError("conflict", detail);
}
