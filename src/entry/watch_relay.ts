import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { monotonicNowMs } from "../adapters/monotonic_now_ms.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { PeerInfo } from "../core/members/peer_info.ts";
import type { MemberId } from "../schema/member_id.ts";
import type { PeerId } from "../schema/peer_id.ts";
import type { Service } from "../schema/service.ts";
import type { Entry } from "./entry.ts";

/** A caller that leaves data unread for longer is a slow reader. */
const maxUnreadMs = 2_000;
/** Pause startPosition runners are tried again, once none is left to try. */
const retryDelayMs = 200;

/** Relays watches, switching runners when one leaves or fails. */
export class WatchRelay {
  constructor(readonly entry: Entry, readonly leavingSignal: AbortSignal) {}

  /** Streams events as lines of JSON, each position once and in order. */
  async handle(
    response: ServerResponse,
    service: Service,
    member: MemberId,
    url: URL,
  ): Promise<void> {
    let next = readPosition(url);
    const callerGone = new AbortController();
    response.once("close", () => callerGone.abort());
    const stopSignal = AbortSignal.any([callerGone.signal, this.leavingSignal]);
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    response.flushHeaders();
    const tried = new Set<PeerId>();
    while (!stopSignal.aborted) {
      const nowMs = monotonicNowMs();
      const target = this.entry.router.chooseRunner(service.name, tried, nowMs);
      if (target === undefined) {
        tried.clear();
        await delay(retryDelayMs);
        continue;
      }
      const { peer } = target;
      const startPosition = next;
      const relayed = await this.#relay(
        response,
        service,
        member,
        peer,
        next,
        stopSignal,
      );
      next = relayed.next;
      if (relayed.isSlow) {
        this.#endStream(response, "slow_reader", next);
        return;
      }
      tried.add(peer.id);
      if (next > startPosition) tried.clear();
      this.entry.metrics.count("watch.moved");
    }
    this.#endStream(response, "leaving", next);
  }

  /** Relays one runner's events; returns the position to resume from. */
  async #relay(
    response: ServerResponse,
    { name }: Service,
    member: MemberId,
    peer: PeerInfo,
    fromPosition: number,
    signal: AbortSignal,
  ): Promise<{ readonly next: number; readonly isSlow: boolean }> {
    let next = fromPosition;
    const client = this.entry.node.clients.runner(peer.endpoint);
    const request = { service: name, member, fromPosition: BigInt(next) };
    try {
      for await (const event of client.watch(request, { signal })) {
        if (event.end !== "") break;
        const position = Number(event.position);
        if (position !== next) break;
        const body = JSON.parse(new TextDecoder().decode(event.body));
        const isDrained = await writeLine(response, { position, body });
        if (!isDrained) return { next, isSlow: true };
        next += 1;
      }
    } catch {
      this.entry.metrics.count("watch.broken");
    }
    return { next, isSlow: false };
  }

  #endStream(
    response: ServerResponse,
    reason: string,
    resumeFrom: number,
  ): void {
    this.entry.metrics.count("watch.ended", reason);
    if (response.destroyed) return;
    response.end(`${JSON.stringify({ end: reason, resumeFrom })}\n`);
  }
}

/** Returns false if the caller does not read in time. */
async function writeLine(
  response: ServerResponse,
  line: unknown,
): Promise<boolean> {
  if (response.write(`${JSON.stringify(line)}\n`)) return true;
  try {
    const signal = AbortSignal.timeout(maxUnreadMs);
    await once(response, "drain", { signal });
    return true;
  } catch {
    return false;
  }
}

function readPosition(url: URL): number {
  const text = url.searchParams.get("from") ?? "0";
  const position = Number(text);
  if (!Number.isSafeInteger(position) || position < 0) {
    throw new GpError("bad_request", "from is not a position");
  }
  return position;
}
