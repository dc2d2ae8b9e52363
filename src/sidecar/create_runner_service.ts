import type { MessageInitShape } from "@bufbuild/protobuf";
import type { ServiceImpl } from "@connectrpc/connect";
import { GpError } from "../core/errors/gp_error.ts";
import {
  type RunnerService,
  type WatchEventSchema,
} from "../rpc/gen/gypsumpond/v1/runner_pb.ts";
import type { CallContext } from "./call_context.ts";
import { readWatchEvents } from "./read_watch_events.ts";

type EventInit = MessageInitShape<typeof WatchEventSchema>;

/** Creates the service whose streams are watches of the local runner. */
export function createRunnerService(
  context: CallContext,
): Pick<ServiceImpl<typeof RunnerService>, "watch"> {
  return {
    async *watch({ fromPosition }, { signal }): AsyncGenerator<EventInit> {
      const proxy = context.proxy;
      if (proxy === undefined) {
        yield { end: "no_runner" };
        return;
      }
      const stopSignal = AbortSignal.any([signal, context.leavingSignal]);
      let position = fromPosition;
      try {
        const events = readWatchEvents(
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
          context.leavingSignal.aborted ? "leaving" : kind,
        );
      }
      yield {
        position,
        end: context.leavingSignal.aborted ? "leaving" : "runner_failed",
      };
    },
  };
}
