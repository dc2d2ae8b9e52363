import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { configChange } from "../core/config/config_change.ts";
import type { ConfigRecord } from "../core/config/config_record.ts";
import type { ConfigVerdict } from "../core/config/config_verdict.ts";
import { itemKey } from "../core/config/item_key.ts";
import { itemsOf } from "../core/config/items_of.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { Log } from "../core/log/log.ts";
import { configStream } from "../peer/config_stream.ts";
import { loadConfiguration } from "./load_configuration.ts";
import { openLog } from "./open_log.ts";
import { print } from "./print.ts";
import { readConfig } from "./read_config.ts";

const resolveTries = 10;
const resolveEveryMs = 500;

interface PublishOptions {
  readonly file: string;
  readonly log: string;
  readonly by: string;
  readonly basedOn: number | undefined;
}

/** `gypsumpond publish`: appends the change from what is in force to a file. */
export async function publishCommand(options: PublishOptions): Promise<void> {
  const wanted = [...itemsOf(loadConfiguration(options.file))];
  await openLog(options.log, async (log) => {
    const current = await readConfig(log);
    const change = configChange(current.state, wanted);
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
    report(await append(log, record));
  });
}

/** Appends the record and finds the verdict on it, also after a lost answer. */
async function append(
  log: Log,
  record: Extract<ConfigRecord, { kind: "published" }>,
): Promise<ConfigVerdict> {
  try {
    await log.append(configStream, [record]);
  } catch (cause) {
    if (GpError.from(cause).kind !== "outcome_unknown") throw cause;
    print("no answer came; reading the log for the outcome");
  }
  for (let attempt = 1; attempt <= resolveTries; attempt++) {
    const verdict = await findVerdict(log, record.id);
    if (verdict !== undefined) return verdict;
    await delay(resolveEveryMs);
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

function report(verdict: ConfigVerdict): void {
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
