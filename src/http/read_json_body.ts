import type { IncomingMessage } from "node:http";
import type { BodyLimits } from "./body_limits.ts";
import { parseJson } from "./parse_json.ts";
import { readBody } from "./read_body.ts";

/** Reads a request's JSON body, within limits. */
export async function readJsonBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<unknown> {
  return parseJson(await readBody(request, limits));
}
