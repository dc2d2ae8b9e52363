import { itemKey } from "../core/config/item_key.ts";
import { withLog } from "./with_log.ts";
import { print } from "./print.ts";
import { readConfig } from "./read_config.ts";

/** `gypsumpond history`: prints who changed the configuration, and how. */
export async function historyCommand(logAddress: string): Promise<void> {
  const { records } = await withLog(logAddress, readConfig);
  for (const { offset, record, verdict } of records) {
    const at = new Date(record.atMs).toISOString();
    const head = `offset=${offset} at=${at} by=${record.by}`;
    if (record.kind === "restated") {
      print(`${head} restated=${record.image.revision}`);
      continue;
    }
    const puts = record.puts.map(itemKey).join(",") || "-";
    const removes = record.removes.join(",") || "-";
    const outcome = verdict.accepted ? "accepted" : verdict.reason;
    print(
      `${head} ${outcome} basedOn=${record.basedOn} put=${puts} remove=${removes}`,
    );
  }
}
