import * as v from "valibot";
import { GpError } from "../core/errors/gp_error.ts";
import { Endpoint } from "../schema/endpoint.ts";

/** Parses `IP:PORT`. */
export function parseEndpoint(text: string): Endpoint {
  const colon = text.lastIndexOf(":");
  const host = text.slice(0, Math.max(0, colon));
  const port = Number(text.slice(colon + 1));
  const endpoint = v.safeParse(Endpoint, { host, port });
  if (endpoint.success) return endpoint.output;
  throw new GpError("usage", `'${text}' is not an IP number and a port`);
}
