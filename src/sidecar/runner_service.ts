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

/** Creates the service whose streams are watches of the local runner. */
export function runnerService(
  context: CallHost,
): Pick<ServiceImpl<typeof RunnerService>, "watch"> {
  return {
    async *watch({ fromPosition }, { signal }): AsyncGenerator<EventInit> {
      const proxy = context.gate;
      if (proxy === undefined) {
        yield { end: "no_runner" };
        return;
      }
      const stopSignal = AbortSignal.any([signal, context.leaving]);
      let position = fromPosition;
      try {
        const events = watchFeed(
          proxy.runner,
          Number(fromPosition),
          stopSignal,
        );
        for await (const event of events) {
          position = BigInt(event.position);
          const body = new TextEncoder().encode(JSON.stringify(event.body));
          yield { position, body };
        }
      } catch (cause) {
        const { kind } = GpError.from(cause);
        context.metrics.count(
          "watch.ended",
          context.leaving.aborted ? "leaving" : kind,
        );
      }
      yield {
        position,
        end: context.leaving.aborted ? "leaving" : "runner_failed",
      };
    },
  };
}
