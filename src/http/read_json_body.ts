import type { IncomingMessage } from "node:http";
import { parseJson } from "./parse_json.ts";
import { readBody } from "./read_body.ts";

/** Reads a request's JSON body, up to a size limit. */
export async function readJsonBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<unknown> {
  return parseJson(await readBody(request, maxBytes));
}
