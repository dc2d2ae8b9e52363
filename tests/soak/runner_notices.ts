const timeoutMs = 400;

interface RunnerState {
  readonly instance: string;
  readonly address: string;
  readonly zone: string;
  readonly capacityMilli: number;
  readonly bornMs: number;
  readonly isDraining: boolean;
}

/** What a runner tells its sidecar of itself. */
export class RunnerNotices {
  #sequence = 0;

  constructor(
    /** Where its sidecar receives them. */
    readonly controlAddress: string,
  ) {}

  /** Sends a heartbeat; returns whether it was confirmed. */
  async sendHeartbeat(state: RunnerState): Promise<boolean> {
    this.#sequence += 1;
    return await this.#post(`${state.instance}/heartbeat`, {
      service: "pool",
      address: state.address,
      zone: state.zone,
      version: "v1",
      slots: 8,
      state: state.isDraining ? "draining" : "ready",
      coldRemainingMs: 0,
      capacity: { cpu: state.capacityMilli, memMb: 100_000, gpu: 0 },
      labels: ["a", "r1"],
      sequence: this.#sequence,
      born: state.bornMs,
    });
  }

  /** Says that the runner ends; returns whether it was confirmed. */
  async sendLeave(instance: string): Promise<boolean> {
    return await this.#post(`${instance}/leave`, {});
  }

  async #post(path: string, body: unknown): Promise<boolean> {
    try {
      const url = `http://${this.controlAddress}/v1/instances/${path}`;
      const { ok } = await fetch(url, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMs),
      });
      return ok;
    } catch {
      // The sidecar is down; the next heartbeat carries the same content.
      return false;
    }
  }
}
