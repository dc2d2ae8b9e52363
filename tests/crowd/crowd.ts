import { connect, type Socket } from "node:net";
import { parseEndpoint } from "../../src/cli/parse_endpoint.ts";
import type { CrowdPlan } from "./crowd_plan.ts";

/** Clients that stay connected for as long as they are let. */
export class Crowd {
  readonly #sockets: Socket[] = [];

  constructor(address: string, { clients, parts, reads = true }: CrowdPlan) {
    const { host, port } = parseEndpoint(address);
    for (let client = 0; client < clients; client++) {
      const socket = connect({ host, port, noDelay: true });
      socket.on("error", () => {});
      if (reads) socket.resume();
      for (const part of parts(client)) socket.write(part);
      this.#sockets.push(socket);
    }
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
  }
}
