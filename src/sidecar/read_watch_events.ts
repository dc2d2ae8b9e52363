import type { HttpRunner } from "../adapters/http_runner.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { WatchItem } from "./watch_item.ts";

/** Limit of the text that is buffered before it is split into lines. */
const maxBufferedChars = 65_536;

/** Yields a runner's watch events in order, each position once. */
export async function* readWatchEvents(
  runner: HttpRunner,
  fromPosition: number,
  signal: AbortSignal,
): AsyncGenerator<WatchItem> {
  let next = fromPosition;
  let buffered = "";
  const decoder = new TextDecoder();
  for await (const chunk of await runner.watch(fromPosition, signal)) {
    buffered += decoder.decode(chunk, { stream: true });
    if (buffered.length > maxBufferedChars) throw new GpError("truncated");
    const lines = buffered.split("\n");
    buffered = lines.pop() ?? "";
    for (const line of lines) {
      const event = JSON.parse(line) as WatchItem;
      if (event.position < next) continue;
      if (event.position > next) throw new GpError("truncated", "gap in watch");
      next += 1;
      yield event;
    }
  }
}
