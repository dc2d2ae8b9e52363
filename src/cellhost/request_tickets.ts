import type { CellEffect } from "../core/cell/cell_effect.ts";
import type { RunnerLife } from "../core/jobs/runner_life.ts";
import type { KeeperSessionOptions } from "./keeper_session_options.ts";

/** Asks the advisor who may run a step; undefined if it gave no answer. */
export async function requestTickets(
  { step, lives }: Extract<CellEffect, { kind: "ask" }>,
  { advisor, log }: KeeperSessionOptions,
): Promise<ReadonlyMap<RunnerLife, string> | undefined> {
  try {
    const tickets = await advisor.requestTickets(step, lives);
    log.info("advised", { step, asked: lives.length, may: tickets.size });
    return tickets;
  } catch (cause) {
    const reason = (cause as Error).message;
    log.warn("advice_failed", { step, reason });
    return undefined;
  }
}
