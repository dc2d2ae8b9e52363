import { request } from "undici";
import type { Tally } from "./tally.ts";

interface Answer {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

/** Calls entries as a member's clients do, and checks what comes back. */
export class Caller {
  /** Answers that were not the caller's own. */
  readonly wrong: string[] = [];
  /** Markers of requests that an answer said were not run. */
  readonly saidNotRun = new Set<string>();
  /** Markers of orders that were sent, also those with no answer. */
  readonly orders = new Set<string>();
  #next = 0;

  constructor(
    readonly entries: readonly string[],
    readonly member: string,
    readonly service: string,
    readonly tally: Tally,
    readonly namePrefix: string,
  ) {}

  /** Sends one check. */
  async check(more: Record<string, unknown> = {}): Promise<void> {
    const marker = this.#mark("c");
    await this.#call("check", marker, {}, more);
  }

  /** Asks for a key and sends one order, again with the same key if need be. */
  async order(
    tries: number,
    more: Record<string, unknown> = {},
  ): Promise<void> {
    const marker = this.#mark("o");
    const path = `/services/${this.service}/keys`;
    const minted = await this.post(path, {}).catch(() => undefined);
    if (minted?.status !== 201) {
      this.tally.refused("order", "no key");
      return;
    }
    this.orders.add(marker);
    const headers = { "idempotency-key": String(minted.body.idempotencyKey) };
    const turn = this.#next++;
    for (let attempt = 1; attempt <= tries; attempt++) {
      const at = turn + attempt;
      const isDone = await this.#call("order", marker, headers, more, at);
      if (isDone) return;
    }
  }

  /** Submits a job by a template's name; gives its id if it was accepted. */
  async submit(
    template: string,
    input: unknown = {},
  ): Promise<string | undefined> {
    const minted = await this.post("/jobs/ids", {});
    if (minted.status !== 201) return undefined;
    const { id } = minted.body;
    for (let attempt = 1; attempt <= 5; attempt++) {
      const answer = await this.post("/jobs", { id, template, input })
        .catch(() => undefined);
      if (answer?.status === 202) return String(id);
    }
    return undefined;
  }

  /** Asks how a job stands. */
  async find(id: string): Promise<Record<string, unknown> | undefined> {
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

  /** Sends JSON to an entry, the next one each time. */
  async post(
    path: string,
    body: unknown,
    headers: Record<string, string> = {},
    turn = this.#next++,
  ): Promise<Answer> {
    const entry = this.entries[turn % this.entries.length];
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
    more: Record<string, unknown>,
    turn?: number,
  ): Promise<boolean> {
    const startedAtMs = performance.now();
    const path = `/services/${this.service}/${kind}`;
    try {
      const body = { marker, ...more };
      const answer = await this.post(path, body, headers, turn);
      if (answer.status === 200) {
        this.tally.ok(kind, performance.now() - startedAtMs);
        this.saidNotRun.delete(marker);
        if (answer.body.marker !== marker) this.wrong.push(marker);
        return true;
      }
      this.tally.refused(kind, String(answer.body.error));
      if (answer.body.ran === "no") this.saidNotRun.add(marker);
      else this.saidNotRun.delete(marker);
      return answer.body.ran === "yes";
    } catch (cause) {
      if (cause instanceof SyntaxError) this.wrong.push(marker);
      this.tally.refused(kind, "no answer");
      this.saidNotRun.delete(marker);
      return false;
    }
  }

  #mark(kind: string): string {
    return `${this.namePrefix}-${kind}-${this.#next++}`;
  }
}
