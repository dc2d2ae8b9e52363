import type { IncomingMessage } from "node:http";
import { parseJson } from "./parse_json.ts";
import { readBody } from "./read_body.ts";

/** Reads a request's body as JSON. */
export async function readJsonBody(
  request: IncomingMessage,
  largestBytes: number,
): Promise<unknown> {
  return parseJson(await readBody(request, largestBytes));
}
