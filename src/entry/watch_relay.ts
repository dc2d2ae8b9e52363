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

/** How long a caller may leave its stream unread. */
const slowReaderMs = 2_000;
const reopenAfterMs = 200;

/** Passes watches on, and moves them when a runner leaves or fails. */
export class WatchRelay {
  constructor(readonly entry: Entry, readonly leaving: AbortSignal) {}

  /** Streams events as lines of JSON, each position once and in order. */
  async handle(
    response: ServerResponse,
    service: Service,
    member: MemberId,
    url: URL,
  ): Promise<void> {
    let next = readPosition(url);
    const gone = new AbortController();
    response.once("close", () => gone.abort());
    const stop = AbortSignal.any([gone.signal, this.leaving]);
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    response.flushHeaders();
    const tried = new Set<PeerId>();
    while (!stop.aborted) {
      const nowMs = monotonicNowMs();
      const choice = this.entry.router.choose(service.name, tried, nowMs);
      if (choice === undefined) {
        tried.clear();
        await delay(reopenAfterMs);
        continue;
      }
      const { peer } = choice;
      const before = next;
      const relayed = await this.#relay(
        response,
        service,
        member,
        peer,
        next,
        stop,
      );
      next = relayed.next;
      if (relayed.isSlow) {
        this.#end(response, "slow_reader", next);
        return;
      }
      tried.add(peer.id);
      if (next > before) tried.clear();
      this.entry.metrics.count("watch.moved");
    }
    this.#end(response, "leaving", next);
  }

  /** Passes on one runner's events; gives the position to go on from. */
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
        const isRead = await writeLine(response, { position, body });
        if (!isRead) return { next, isSlow: true };
        next += 1;
      }
    } catch {
      this.entry.metrics.count("watch.broken");
    }
    return { next, isSlow: false };
  }

  #end(response: ServerResponse, reason: string, resumeFrom: number): void {
    this.entry.metrics.count("watch.ended", reason);
    if (response.destroyed) return;
    response.end(`${JSON.stringify({ end: reason, resumeFrom })}\n`);
  }
}

async function writeLine(
  response: ServerResponse,
  line: unknown,
): Promise<boolean> {
  if (response.write(`${JSON.stringify(line)}\n`)) return true;
  try {
    const signal = AbortSignal.timeout(slowReaderMs);
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
