import { request } from "undici";
import type { Tally } from "./tally.ts";

interface Answer {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

/** Calls entries as a member's clients do, and checks the answers. */
export class Caller {
  /** Markers of calls that got an unreadable answer or that of another call. */
  readonly wrongAnswers: string[] = [];
  /** Markers of calls whose last attempt was answered as not run. */
  readonly reportedNotRun = new Set<string>();
  /** Markers of all orders sent, also of those without an answer. */
  readonly orderMarkers = new Set<string>();
  #nextNumber = 0;

  constructor(
    readonly entries: readonly string[],
    readonly member: string,
    readonly service: string,
    readonly tally: Tally,
    readonly namePrefix: string,
  ) {}

  /** Sends one check. */
  async sendCheck(extraFields: Record<string, unknown> = {}): Promise<void> {
    const marker = this.#newMarker("c");
    await this.#call("check", marker, {}, extraFields);
  }

  /** Requests a key and sends one order; retries it with the same key. */
  async sendOrder(
    maxAttempts: number,
    extraFields: Record<string, unknown> = {},
  ): Promise<void> {
    const marker = this.#newMarker("o");
    const path = `/services/${this.service}/keys`;
    const created = await this.post(path, {}).catch(() => undefined);
    if (created?.status !== 201) {
      this.tally.recordRefusal("order", "no key");
      return;
    }
    this.orderMarkers.add(marker);
    const headers = { "idempotency-key": String(created.body.idempotencyKey) };
    const entryIndex = this.#nextNumber++;
    for (let attempt = 1; attempt <= maxAttempts; attempt++) {
      const index = entryIndex + attempt;
      const isDone = await this.#call(
        "order",
        marker,
        headers,
        extraFields,
        index,
      );
      if (isDone) return;
    }
  }

  /** Submits a job of a template; returns its id if it was accepted. */
  async submitJob(
    template: string,
    input: unknown = {},
  ): Promise<string | undefined> {
    const created = await this.post("/jobs/ids", {});
    if (created.status !== 201) return undefined;
    const { id } = created.body;
    for (let attempt = 1; attempt <= 5; attempt++) {
      const answer = await this.post("/jobs", { id, template, input })
        .catch(() => undefined);
      if (answer?.status === 202) return String(id);
    }
    return undefined;
  }

  /** Reads the state of a job from the first entry that answers with 200. */
  async findJob(id: string): Promise<Record<string, unknown> | undefined> {
    for (const entry of this.entries) {
      try {
        const { statusCode, body } = await request(`${entry}/jobs/${id}`);
        const view = await body.json() as Record<string, unknown>;
        if (statusCode === 200) return view;
      } catch {
        continue;
      }
    }
    return undefined;
  }

  /** Posts JSON to an entry, round robin unless an index is given. */
  async post(
    path: string,
    body: unknown,
    headers: Record<string, string> = {},
    entryIndex = this.#nextNumber++,
  ): Promise<Answer> {
    const entry = this.entries[entryIndex % this.entries.length];
    const answer = await request(`${entry}${path}`, {
      method: "POST",
      headers: { "x-member": this.member, ...headers },
      body: JSON.stringify(body),
    });
    const json = await answer.body.json();
    return { status: answer.statusCode, body: json as Record<string, unknown> };
  }

  async #call(
    kind: "check" | "order",
    marker: string,
    headers: Record<string, string>,
    extraFields: Record<string, unknown>,
    entryIndex?: number,
  ): Promise<boolean> {
    const startedAtMs = performance.now();
    const path = `/services/${this.service}/${kind}`;
    try {
      const body = { marker, ...extraFields };
      const answer = await this.post(path, body, headers, entryIndex);
      if (answer.status === 200) {
        this.tally.recordAnswer(kind, performance.now() - startedAtMs);
        this.reportedNotRun.delete(marker);
        if (answer.body.marker !== marker) this.wrongAnswers.push(marker);
        return true;
      }
      this.tally.recordRefusal(kind, String(answer.body.error));
      if (answer.body.ran === "no") this.reportedNotRun.add(marker);
      else this.reportedNotRun.delete(marker);
      return answer.body.ran === "yes";
    } catch (cause) {
      if (cause instanceof SyntaxError) this.wrongAnswers.push(marker);
      this.tally.recordRefusal(kind, "no answer");
      this.reportedNotRun.delete(marker);
      return false;
    }
  }

  #newMarker(kind: string): string {
    return `${this.namePrefix}-${kind}-${this.#nextNumber++}`;
  }
}
