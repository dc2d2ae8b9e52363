import type { IncomingMessage } from "node:http";
import { GpError } from "../core/errors/gp_error.ts";

/** Reads a request's body up to a limit. */
export async function readBody(
  request: IncomingMessage,
  largestBytes: number,
): Promise<Uint8Array> {
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > largestBytes) throw tooLarge(largestBytes);
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += (chunk as Uint8Array).byteLength;
    if (size > largestBytes) throw tooLarge(largestBytes);
    chunks.push(chunk as Uint8Array);
  }
  return Buffer.concat(chunks);
}

function tooLarge(largestBytes: number): GpError {
  return new GpError("body_too_large", `the limit is ${largestBytes} bytes`);
}
