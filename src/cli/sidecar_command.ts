import { loadFile } from "../settings/load_file.ts";
import { SidecarSettings } from "../schema/sidecar_settings.ts";
import { runProcess } from "./run_process.ts";

/** `gypsumpond sidecar`: runs a sidecar with the settings of a file. */
export async function sidecarCommand(file: string): Promise<void> {
  const settings = loadFile(file, SidecarSettings, "bad_settings");
  const { Sidecar } = await import("../sidecar/sidecar.ts");
  await runProcess(
    "sidecar",
    settings,
    (logger, metrics) => new Sidecar(settings, logger, metrics),
  );
}
