import { audit } from "../../demo/audit.ts";
import { Caller } from "../../demo/caller.ts";
import { Tally } from "../../demo/tally.ts";
import type { Fleet } from "../../stand_ins/fleet/fleet.ts";
import { postAdmin } from "../../stand_ins/fleet/post_admin.ts";
import type { FaultCase } from "./fault_case.ts";

/** Calls of each kind, checks and orders. */
const callsPerKind = 130;
/** How many checks, and as many orders, are sent at once. */
const batchSize = 10;

/** Switches off all proxy faults that a case may set. */
const noProxyFaults = {
  loseRatio: 0,
  swapRatio: 0,
  resetRatio: 0,
  truncateRatio: 0,
  resetRequestRatio: 0,
  refuseRatio: 0,
  delayMs: 0,
};
const noRunnerFaults = { crossedRatio: 0, truncatedRatio: 0, resetRatio: 0 };

async function setFaults(
  fleet: Fleet,
  {
    runnerProxy: runnerProxyFaults,
    runner: runnerFaults,
    sidecarProxy: sidecarProxyFaults,
  }: FaultCase,
): Promise<void> {
  for (const host of fleet.hosts) {
    const {
      runnerPort,
      runnerProxyAdminPort: runnerAdminPort,
      sidecarProxyAdminPort: sidecarAdminPort,
    } = host;
    await postAdmin(runnerPort, { ...noRunnerFaults, ...runnerFaults });
    if (sidecarAdminPort !== undefined) {
      await postAdmin(sidecarAdminPort, {
        ...noProxyFaults,
        ...sidecarProxyFaults,
      });
    }
    if (runnerAdminPort === undefined) continue;
    await postAdmin(runnerAdminPort, {
      ...noProxyFaults,
      ...runnerProxyFaults,
    });
  }
}

async function sendAll(caller: Caller): Promise<void> {
  for (let sent = 0; sent < callsPerKind; sent += batchSize) {
    const calls = Array.from(
      { length: batchSize },
      () => [caller.sendCheck(), caller.sendOrder(3)],
    );
    await Promise.all(calls.flat());
  }
}

/** How many calls ended, and the markers of those with a wrong answer. */
interface FaultRunResult {
  /** Calls that ended, with an answer or without one. */
  readonly ended: number;
  /** Answers that were not the caller's own, or not whole. */
  readonly wrong: readonly string[];
  /** Reported as not run, although they ran. */
  readonly falselyRefused: readonly string[];
  /** Orders that ran more than once. */
  readonly twice: readonly string[];
}

/** Sends checks and orders during faults; compares answers with what ran. */
export async function callThroughFaults(
  fleet: Fleet,
  faults: FaultCase,
  prefix: string,
): Promise<FaultRunResult> {
  await setFaults(fleet, faults);
  const entries = [fleet.entryUrl(0), fleet.entryUrl(1)];
  const tally = new Tally();
  const caller = new Caller(entries, "yaba-club", "menu", tally, prefix);
  await sendAll(caller);
  await setFaults(fleet, { name: "" });
  const { ran } = await audit(fleet, []);
  const rows = [...tally.rows.values()];
  return {
    ended: rows.reduce((sum, row) => sum + row.ok + row.refused, 0),
    wrong: caller.wrongAnswers,
    falselyRefused: [...caller.reportedNotRun].filter((marker) =>
      ran.has(marker)
    ),
    twice: [...caller.orderMarkers].filter((marker) =>
      (ran.get(marker) ?? 0) > 1
    ),
  };
}
