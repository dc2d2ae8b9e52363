import { setTimeout as sleep } from "node:timers/promises";
import type { Kill, Rebirth, Recut, RecutRound } from "./recut_round.ts";
import type { RunnerStandIn } from "./runner_stand_in.ts";
import type { SoakDeployment } from "./soak_deployment.ts";
import type { SoakProcess } from "./soak_process.ts";

/** Plays rounds of runners that are back under their ids, then cut off. */
export class RecutFaults {
  constructor(
    readonly deployment: SoakDeployment,
    readonly record: (line: string) => void,
    /** Chooses what a killed process runs next. */
    readonly chooseProgram: (process: SoakProcess) => void,
  ) {}

  /** Returns when the last cut of the round has ended. */
  async play({ recuts, keeperKill }: RecutRound): Promise<void> {
    const faults = recuts.flatMap((recut) => [
      this.#playRecut(recut),
      this.#kill(
        recut.sidecarKill,
        () => this.deployment.sidecars[recut.runner],
      ),
    ]);
    await Promise.all([
      ...faults,
      this.#kill(keeperKill, () => this.#findKeeper()),
    ]);
  }

  async #playRecut(recut: Recut): Promise<void> {
    const { cut, cutAfterMs, cutMs, rebirths, isHeard } = recut;
    const runner = this.deployment.runners[recut.runner]!;
    for (const rebirth of rebirths) {
      await this.#playRebirth(runner, rebirth, isHeard);
    }
    await sleep(cutAfterMs);
    runner.link.cut = cut;
    this.record(`${runner.name} is cut off, ${cut} are lost`);
    await sleep(cutMs);
    runner.link.cut = undefined;
    this.record(`${runner.name} is reachable again`);
  }

  async #playRebirth(
    runner: RunnerStandIn,
    { afterMs, isInPlace, awayMs, silentMs, lateHeartbeatMs }: Rebirth,
    isHeard: boolean,
  ): Promise<void> {
    await sleep(afterMs);
    const { name } = runner;
    if (lateHeartbeatMs !== undefined) {
      void runner.sendLateHeartbeat(lateHeartbeatMs);
    }
    runner.end(isInPlace);
    const calls = isInPlace ? "held" : "refused";
    const late = lateHeartbeatMs === undefined
      ? ""
      : `, a heartbeat arrives ${lateHeartbeatMs} ms late`;
    this.record(`${name} ends, calls are ${calls}${late}`);
    await sleep(awayMs);
    runner.begin(silentMs, isHeard);
    const { bornMs } = runner.observer;
    this.record(
      `${name} begins, born ${bornMs}, first heartbeat in ${silentMs} ms`,
    );
  }

  async #kill(
    kill: Kill | undefined,
    find: () => SoakProcess | undefined,
  ): Promise<void> {
    if (kill === undefined) return;
    await sleep(kill.atMs);
    const process = find();
    if (process === undefined) return;
    this.record(`${process.name} is killed, for ${kill.awayMs} ms`);
    this.chooseProgram(process);
    process.kill(kill.awayMs);
  }

  #findKeeper(): SoakProcess | undefined {
    const { store, entries } = this.deployment;
    const row = store.model.newestValue("cell", "keeper");
    if (row === undefined) return undefined;
    const { node } = JSON.parse(row) as { readonly node: string };
    return entries.find(({ name }) => name === node);
  }
}
