import { loadFile } from "../settings/load_file.ts";
import { EntrySettings } from "../schema/entry_settings.ts";
import { runProcess } from "./run_process.ts";

/** `gypsumpond entry`: runs an entry with the settings of a file. */
export async function entryCommand(file: string): Promise<void> {
  const settings = loadFile(file, EntrySettings, "bad_settings");
  const { Entry } = await import("../entry/entry.ts");
  await runProcess(
    "entry",
    settings,
    (logger, metrics) => new Entry(settings, logger, metrics),
  );
}
