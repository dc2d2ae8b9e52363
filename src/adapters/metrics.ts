import type { StatsD } from "hot-shots";
import type { Endpoint } from "../schema/endpoint.ts";

/** Counts events in the process, and sends them to StatsD where one is set. */
export class Metrics {
  readonly #counts = new Map<string, number>();
  #client: StatsD | undefined;

  /** Starts sending to the endpoint. */
  async connect({ host, port }: Endpoint): Promise<void> {
    const { StatsD } = await import("hot-shots");
    this.#client = new StatsD({
      host,
      port,
      prefix: "gypsumpond.",
      errorHandler: () => {},
    });
  }

  /** Counts one event, by its reason where it has one. */
  count(name: string, reason = ""): void {
    const key = reason === "" ? name : `${name}.${reason}`;
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + 1);
    this.#client?.increment(key);
  }

  /** All counts so far. */
  counts(): Record<string, number> {
    return Object.fromEntries(this.#counts);
  }

  /** Stops sending. */
  close(): void {
    this.#client?.close(() => {});
  }
}
