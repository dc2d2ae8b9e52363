import { Agent } from "node:http";
import { type Client, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import type { HttpPools } from "../adapters/http_pools.ts";
import type { Endpoint } from "../schema/endpoint.ts";
import { PeerService } from "./gen/gypsumpond/v1/peer_pb.ts";
import { RunnerService } from "./gen/gypsumpond/v1/runner_pb.ts";
import { PooledTransport } from "./pooled_transport.ts";

interface Clients {
  readonly peer: Client<typeof PeerService>;
  readonly runner: Client<typeof RunnerService>;
}

/** Caches the RPC clients for each process that is called. */
export class RpcClients {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 256 });
  readonly #clients = new Map<string, Clients>();

  constructor(readonly pools: HttpPools) {}

  /** A client for announcements, configuration and the keeper role. */
  peer(endpoint: Endpoint): Client<typeof PeerService> {
    return this.#clientsFor(endpoint).peer;
  }

  /** A client for the runner beside a sidecar. */
  runner(endpoint: Endpoint): Client<typeof RunnerService> {
    return this.#clientsFor(endpoint).runner;
  }

  /** Closes the connections of streaming calls. */
  close(): void {
    this.#agent.destroy();
  }

  #clientsFor({ host, port }: Endpoint): Clients {
    const baseUrl = `http://${host}:${port}`;
    const known = this.#clients.get(baseUrl);
    if (known !== undefined) return known;
    const streams = createConnectTransport({
      baseUrl,
      httpVersion: "1.1",
      nodeOptions: { agent: this.#agent },
    });
    const transport = new PooledTransport(this.pools, { host, port }, streams);
    const clients = {
      peer: createClient(PeerService, transport),
      runner: createClient(RunnerService, transport),
    };
    this.#clients.set(baseUrl, clients);
    return clients;
  }
}
