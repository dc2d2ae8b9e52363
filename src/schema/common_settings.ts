import * as v from "valibot";
import { Endpoint } from "./endpoint.ts";
import { Name } from "./name.ts";
import { PeerId } from "./peer_id.ts";

/** Settings that an entry and a sidecar have in common. */
export const CommonSettings = {
  id: PeerId,
  dataCentre: Name,
  rack: Name,
  listen: Endpoint,
  advertised: v.optional(Endpoint),
  seeds: v.array(Endpoint),
  log: Endpoint,
  logLevel: v.optional(
    v.picklist(["debug", "info", "warn", "error"]),
    "info",
  ),
  metrics: v.optional(Endpoint),
};
