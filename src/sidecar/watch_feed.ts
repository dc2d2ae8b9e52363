import type { HttpRunner } from "../adapters/http_runner.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { WatchItem } from "./watch_item.ts";

const largestLineBytes = 65_536;

/** Yields a runner's watch events in order, each position once. */
export async function* watchFeed(
  runner: HttpRunner,
  fromPosition: number,
  signal: AbortSignal,
): AsyncGenerator<WatchItem> {
  let next = fromPosition;
  let rest = "";
  const decoder = new TextDecoder();
  for await (const chunk of await runner.watch(fromPosition, signal)) {
    rest += decoder.decode(chunk, { stream: true });
    if (rest.length > largestLineBytes) throw new GpError("truncated");
    const lines = rest.split("\n");
    rest = lines.pop() ?? "";
    for (const line of lines) {
      const item = JSON.parse(line) as WatchItem;
      if (item.position < next) continue;
      if (item.position > next) throw new GpError("truncated", "gap in watch");
      next += 1;
      yield item;
    }
  }
}
