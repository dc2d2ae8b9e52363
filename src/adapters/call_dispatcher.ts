import type { Dispatcher } from "undici";

/** Passes a call on to a pool, and notes whether it has got a connection. */
export class CallDispatcher {
  /** False as long as no byte of the call can have been sent. */
  hasConnection = false;

  constructor(readonly pool: Pick<Dispatcher, "dispatch">) {}

  dispatch(
    options: Dispatcher.DispatchOptions & { signal?: AbortSignal },
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    const { onConnect } = handler;
    handler.onConnect = (abort, ...rest: unknown[]) => {
      // A call that was aborted before is not sent any more.
      this.hasConnection ||= options.signal?.aborted !== true;
      Reflect.apply(onConnect!, handler, [abort, ...rest]);
    };
    return this.pool.dispatch(options, handler);
  }
}
