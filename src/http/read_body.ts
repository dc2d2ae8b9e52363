import type { IncomingMessage } from "node:http";
import { GpError } from "../core/errors/gp_error.ts";

/** Reads a request's body; throws `body_too_large` if it exceeds the limit. */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Uint8Array> {
  const declaredBytes = Number(request.headers["content-length"] ?? 0);
  if (declaredBytes > maxBytes) throw tooLarge(maxBytes);
  const chunks: Uint8Array[] = [];
  let receivedBytes = 0;
  for await (const chunk of request) {
    receivedBytes += (chunk as Uint8Array).byteLength;
    if (receivedBytes > maxBytes) throw tooLarge(maxBytes);
    chunks.push(chunk as Uint8Array);
  }
  return Buffer.concat(chunks);
}

function tooLarge(maxBytes: number): GpError {
  return new GpError("body_too_large", `the limit is ${maxBytes} bytes`);
}
