import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const maxLines = 12;
/** Lines that tell who was keeper, and which runners came and went. */
const aboutKeepers =
  /"?(term_begun|term_ended|start_process|leases_renewed|worker_lost)\b/;

/** What the logs of a run's processes say last of a job and of keepers. */
export function logLinesOfJob(folder: string, job: string): string[] {
  const lines: string[] = [];
  for (const name of readdirSync(folder).sort()) {
    if (!name.endsWith(".log")) continue;
    const found = readFileSync(join(folder, name), "utf8").split("\n")
      .filter((line) =>
        line.includes(job) ||
        (name.startsWith("entry") && aboutKeepers.test(line))
      );
    for (const line of found.slice(-maxLines)) lines.push(`${name}: ${line}`);
  }
  return lines;
}
