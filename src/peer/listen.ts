import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { GpError } from "../core/errors/gp_error.ts";
import type { Endpoint } from "../schema/endpoint.ts";

/** Starts listening; returns the port, which the system chooses for port 0. */
export function listen(
  server: Server,
  { host, port }: Endpoint,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", (cause) => {
      reject(
        new GpError("bad_settings", `listen ${host}:${port}: ${cause.message}`),
      );
    });
    server.listen(port, host, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}
