import type { Caller } from "./caller.ts";
import type { AuditResult } from "./audit_result.ts";
import type { Tally } from "./tally.ts";
import type { Watcher } from "./watcher.ts";

interface Results {
  readonly tally: Tally;
  readonly caller: Caller;
  readonly watcher: Watcher;
  readonly accepted: readonly string[];
  readonly found: AuditResult;
  readonly memory: readonly { name: string; mb: number | undefined }[];
}

/** Prints the demo's results; returns the exit code. */
export function printReport(results: Results): number {
  const { tally, caller, watcher, accepted, found, memory } = results;
  const falseRefusals = [...caller.reportedNotRun].filter((m) =>
    found.ran.has(m)
  );
  const ordersRunTwice = [...caller.orderMarkers].filter((m) =>
    (found.ran.get(m) ?? 0) > 1
  );
  console.log("\nclass    answered  refused   p50 ms   p99 ms  p99.9 ms");
  for (const [kind, { ok, refused }] of tally.rows) {
    const cells = [50, 99, 99.9].map((p) =>
      tally.percentileMs(kind, p).toFixed(1).padStart(9)
    );
    const counts = `${String(ok).padStart(9)}${String(refused).padStart(9)}`;
    console.log(`${kind.padEnd(8)}${counts}${cells.join("")}`);
  }
  const rows: [string, unknown][] = [
    [
      "refusals",
      [...tally.refusals].map(([k, n]) => `${k}=${n}`).join(", ") || "none",
    ],
    ["wrong answers", caller.wrongAnswers.length],
    ["false 'not run'", falseRefusals.length],
    ["orders run twice", ordersRunTwice.length],
    [
      "watch events / gaps or repeats",
      `${watcher.eventCount} / ${watcher.positionErrors}`,
    ],
    ["jobs accepted", accepted.length],
    [
      "jobs finished / lost / duplicated",
      `${found.finished} / ${found.lost.length} / ${found.finishedTwice.length}`,
    ],
    [
      "evictions, reclaims, epochs",
      `${found.evictions}, ${found.reclaims}, ${found.epochs}`,
    ],
    [
      "resident memory MB",
      memory.map(({ name, mb }) => `${name}=${mb?.toFixed(0) ?? "gone"}`).join(
        " ",
      ),
    ],
  ];
  for (const [name, value] of rows) console.log(`${name.padEnd(34)}${value}`);
  const faultCounts = [
    caller.wrongAnswers.length,
    falseRefusals.length,
    ordersRunTwice.length,
    watcher.positionErrors,
    found.lost.length,
    found.finishedTwice.length,
  ];
  const isSuccess = accepted.length > 0 &&
    faultCounts.every((count) => count === 0);
  console.log(isSuccess ? "demo: ok" : "demo: FAILED");
  return isSuccess ? 0 : 1;
}
