import type { IncomingMessage } from "node:http";
import { GpError } from "../core/errors/gp_error.ts";
import type { BodyLimits } from "./body_limits.ts";
import { ByteBuffer } from "./byte_buffer.ts";

/** How long a connection stays open for the answer to a body that is not read. */
const closeDelayMs = 200;
const retryAfterMs = 1_000;

/**
 * Reads a request's body; throws `body_too_large` if it exceeds its limit,
 * `deadline_too_short` if it is late, and `overloaded` if it has to give way to
 * others. The connection closes soon after, since the rest may never end.
 */
export async function readBody(
  request: IncomingMessage,
  { maxBytes, withinMs, hold }: BodyLimits,
): Promise<Uint8Array> {
  const declaredBytes = Number(request.headers["content-length"] ?? 0);
  if (declaredBytes > maxBytes) throw tooLarge(maxBytes);
  return await new Promise((resolve, reject) => {
    const body = new ByteBuffer();
    const settle = () => {
      clearTimeout(timer);
      request.off("data", receive);
      hold?.endBody();
    };
    const fail = (cause: Error) => {
      settle();
      body.take();
      if (!request.complete) setTimeout(() => request.destroy(), closeDelayMs);
      reject(cause);
    };
    const giveWay = () => {
      hold?.onLimit("body_evicted");
      fail(refused("overloaded", "too much is being received"));
    };
    const receive = (chunk: Uint8Array) => {
      const { byteLength } = chunk;
      const isTooLarge = body.length + byteLength > maxBytes;
      if (isTooLarge) fail(tooLarge(maxBytes));
      else if (hold?.resizeBody(body.capacityAfter(byteLength)) === false) {
        giveWay();
      } else body.append(chunk);
    };
    const timer = withinMs === undefined ? undefined : setTimeout(() => {
      hold?.onLimit("body_late");
      fail(refused("deadline_too_short", "the body did not come in time"));
    }, withinMs);
    hold?.beginBody(giveWay);
    // A listener, since an iterator would keep an object for each chunk.
    request.on("data", receive);
    request.once("end", () => {
      settle();
      resolve(body.take());
    });
    request.once("error", fail);
    request.once("close", () => fail(new Error("aborted")));
  });
}

function tooLarge(maxBytes: number): GpError {
  return new GpError("body_too_large", `the limit is ${maxBytes} bytes`);
}

function refused(
  kind: "overloaded" | "deadline_too_short",
  detail: string,
): GpError {
  return new GpError(kind, detail, retryAfterMs);
}
