import { audit } from "../../demo/audit.ts";
import { Caller } from "../../demo/caller.ts";
import { Tally } from "../../demo/tally.ts";
import type { Fleet } from "../../stand_ins/fleet/fleet.ts";
import { postAdmin } from "../../stand_ins/fleet/post_admin.ts";
import type { FaultCase } from "./fault_case.ts";

const perKind = 130;
const together = 10;

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
  { proxy, runner, sidecar }: FaultCase,
): Promise<void> {
  for (const slot of fleet.slots) {
    const { runnerPort, runnerProxyAdmin, sidecarProxyAdmin } = slot;
    await postAdmin(runnerPort, { ...noRunnerFaults, ...runner });
    if (sidecarProxyAdmin !== undefined) {
      await postAdmin(sidecarProxyAdmin, { ...noProxyFaults, ...sidecar });
    }
    if (runnerProxyAdmin === undefined) continue;
    await postAdmin(runnerProxyAdmin, { ...noProxyFaults, ...proxy });
  }
}

async function sendAll(caller: Caller): Promise<void> {
  for (let sent = 0; sent < perKind; sent += together) {
    const calls = Array.from(
      { length: together },
      () => [caller.check(), caller.order(3)],
    );
    await Promise.all(calls.flat());
  }
}

/** What was answered, and which answers did not tell the truth. */
interface Broken {
  readonly answered: number;
  readonly wrong: readonly string[];
  readonly falselyRefused: readonly string[];
  readonly twice: readonly string[];
}

/** Sends checks and orders through faults, and compares with what ran. */
export async function faultRun(
  fleet: Fleet,
  faults: FaultCase,
  prefix: string,
): Promise<Broken> {
  await setFaults(fleet, faults);
  const entries = [fleet.callers(0), fleet.callers(1)];
  const tally = new Tally();
  const caller = new Caller(entries, "yaba-club", "menu", tally, prefix);
  await sendAll(caller);
  await setFaults(fleet, { name: "" });
  const { ran } = await audit(fleet, []);
  const counts = [...tally.rows.values()];
  return {
    answered: counts.reduce((sum, row) => sum + row.ok + row.refused, 0),
    wrong: caller.wrong,
    falselyRefused: [...caller.saidNotRun].filter((m) => ran.has(m)),
    twice: [...caller.orders].filter((m) => (ran.get(m) ?? 0) > 1),
  };
}
