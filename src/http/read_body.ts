import type { IncomingMessage } from "node:http";
import { GpError } from "../core/errors/gp_error.ts";
import { ByteBuffer } from "./byte_buffer.ts";

/** How long a connection stays open for the answer to a body that is not read. */
const closeDelayMs = 200;

/**
 * Reads a request's body; throws `body_too_large` if it exceeds the limit. The
 * connection closes soon after a failure, since the rest may never end.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Uint8Array> {
  const declaredBytes = Number(request.headers["content-length"] ?? 0);
  if (declaredBytes > maxBytes) throw tooLarge(maxBytes);
  return await new Promise((resolve, reject) => {
    const body = new ByteBuffer();
    const receive = (chunk: Uint8Array) => {
      if (body.length + chunk.byteLength > maxBytes) fail(tooLarge(maxBytes));
      else body.append(chunk);
    };
    const fail = (cause: Error) => {
      request.off("data", receive);
      body.take();
      if (!request.complete) setTimeout(() => request.destroy(), closeDelayMs);
      reject(cause);
    };
    // A listener, since an iterator would keep an object for each chunk.
    request.on("data", receive);
    request.once("end", () => resolve(body.take()));
    request.once("error", fail);
    request.once("close", () => fail(new Error("aborted")));
  });
}

function tooLarge(maxBytes: number): GpError {
  return new GpError("body_too_large", `the limit is ${maxBytes} bytes`);
}
