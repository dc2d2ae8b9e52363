import type { AdviceCache } from "../core/cell/advice_cache.ts";
import type { CellEffect } from "../core/cell/cell_effect.ts";
import type { KeeperSessionOptions } from "./keeper_session_options.ts";

/** Queries the advisor which runners may run a step, and records the answer. */
export async function queryAdvisor(
  { step, lives, timeoutMs }: Extract<CellEffect, { kind: "ask" }>,
  advice: AdviceCache,
  { advisor, clock, log }: KeeperSessionOptions,
): Promise<void> {
  try {
    const tickets = await advisor.requestTickets(step, lives, timeoutMs);
    log.info("advised", { step, asked: lives.length, may: tickets.size });
    advice.recordAnswer(step, tickets);
  } catch (cause) {
    const reason = (cause as Error).message;
    log.warn("advice_failed", { step, reason });
    advice.recordFailure(step, clock.nowMs());
  }
}
