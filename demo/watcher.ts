import { request } from "undici";

/** Follows a watch and counts gaps and repeats in its positions. */
export class Watcher {
  events = 0;
  faults = 0;
  #position = 0;
  #isOver = false;
  #open = new AbortController();

  constructor(
    readonly entries: readonly string[],
    readonly service: string,
    readonly member: string,
  ) {}

  /** Follows until stopped, from where the last stream ended. */
  async run(): Promise<void> {
    for (let n = 0; !this.#isOver; n++) {
      await this.#follow(this.entries[n % this.entries.length] ?? "")
        .catch(() => {});
    }
  }

  /** Ends the watch. */
  stop(): void {
    this.#isOver = true;
    this.#open.abort();
  }

  async #follow(entry: string): Promise<void> {
    this.#open = new AbortController();
    const path = `/services/${this.service}/watch?from=${this.#position}`;
    const { body } = await request(`${entry}${path}`, {
      headers: { "x-member": this.member },
      bodyTimeout: 0,
      signal: this.#open.signal,
    });
    let rest = "";
    for await (const chunk of body) {
      const lines = (rest + chunk.toString()).split("\n");
      rest = lines.pop() ?? "";
      for (const line of lines) this.#take(JSON.parse(line));
    }
  }

  #take(event: { position?: number; end?: string }): void {
    if (event.position === undefined) return;
    if (event.position !== this.#position) this.faults += 1;
    this.#position = event.position + 1;
    this.events += 1;
  }
}
