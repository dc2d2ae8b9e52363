import { Fleet } from "../../stand_ins/fleet/fleet.ts";
import type { FleetOptions } from "../../stand_ins/fleet/fleet_options.ts";
import { waitFor } from "./wait_for.ts";

/** Starts a small fleet with the example configuration in force everywhere. */
export async function startSmallFleet(
  overrides: Partial<FleetOptions> = {},
): Promise<Fleet> {
  const fleet = new Fleet({
    dataCentre: "lagos-1",
    service: "menu",
    runners: 3,
    entries: 2,
    cores: 16,
    memoryGb: 60,
    meanMs: 4,
    proxies: {},
    ...overrides,
  });
  try {
    await fleet.start();
    const args = ["--log", fleet.logAddress, "--by", "test"];
    const example = "examples/seniors_lunch.jsonc";
    const { code, output } = await fleet.runCommand(
      "publish",
      example,
      ...args,
    );
    if (code !== 0) throw new Error(output);
    await waitFor("the fleet to be ready", () => isReady(fleet));
    return fleet;
  } catch (cause) {
    await fleet.stop();
    throw cause;
  }
}

/** Whether each entry sees every process, its configuration and a keeper. */
async function isReady(fleet: Fleet): Promise<boolean> {
  const { runners, entries } = fleet.options;
  const statuses = await Promise.all(fleet.callerPorts.map(async (_, n) => {
    const answer = await fetch(`${fleet.entryUrl(n)}/status`);
    return await answer.json() as {
      processes: {
        configRevision: number;
        runner?: unknown;
        keeper?: unknown;
      }[];
    };
  }));
  return statuses.every(({ processes }) =>
    processes.length === runners + entries &&
    processes.every(({ configRevision }) => configRevision >= 0) &&
    processes.filter(({ runner }) => runner).length === runners &&
    processes.some(({ keeper }) => keeper)
  );
}
