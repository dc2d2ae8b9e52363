import type { StatsD } from "hot-shots";
import type { Endpoint } from "../schema/endpoint.ts";

/** Counts events in memory, and sends them to StatsD once it is connected. */
export class StatsdMetrics {
  readonly #counts = new Map<string, number>();
  #client: StatsD | undefined;

  /** Starts sending counts to the StatsD endpoint. */
  async connect({ host, port }: Endpoint): Promise<void> {
    const { StatsD } = await import("hot-shots");
    this.#client = new StatsD({
      host,
      port,
      prefix: "gypsumpond.",
      errorHandler: () => {},
    });
  }

  /** Counts one event, under `name.reason` if a reason is given. */
  count(name: string, reason = ""): void {
    const key = reason === "" ? name : `${name}.${reason}`;
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + 1);
    this.#client?.increment(key);
  }

  /** Returns all counts since the start of the process. */
  counts(): Record<string, number> {
    return Object.fromEntries(this.#counts);
  }

  /** Stops sending counts to StatsD. */
  close(): void {
    this.#client?.close(() => {});
  }
}
