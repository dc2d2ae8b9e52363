import type { MessageInitShape } from "@bufbuild/protobuf";
import type { ServiceImpl } from "@connectrpc/connect";
import { GpError } from "../core/errors/gp_error.ts";
import {
  type RunnerService,
  type WatchEventSchema,
} from "../rpc/gen/gypsumpond/v1/runner_pb.ts";
import type { CallHost } from "./call_host.ts";
import { watchFeed } from "./watch_feed.ts";

type EventInit = MessageInitShape<typeof WatchEventSchema>;

/** The streams that entries open: watches of the runner beside this sidecar. */
export function runnerService(
  host: CallHost,
): Pick<ServiceImpl<typeof RunnerService>, "watch"> {
  return {
    async *watch({ fromPosition }, { signal }): AsyncGenerator<EventInit> {
      const gate = host.gate;
      if (gate === undefined) {
        yield { end: "no_runner" };
        return;
      }
      const stop = AbortSignal.any([signal, host.leaving]);
      let position = fromPosition;
      try {
        const feed = watchFeed(gate.runner, Number(fromPosition), stop);
        for await (const item of feed) {
          position = BigInt(item.position);
          const body = new TextEncoder().encode(JSON.stringify(item.body));
          yield { position, body };
        }
      } catch (cause) {
        const { kind } = GpError.from(cause);
        host.metrics.count(
          "watch.ended",
          host.leaving.aborted ? "leaving" : kind,
        );
      }
      yield {
        position,
        end: host.leaving.aborted ? "leaving" : "runner_failed",
      };
    },
  };
}
