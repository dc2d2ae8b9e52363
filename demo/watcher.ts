import { request } from "undici";

/** Reads a watch stream and counts gaps and repeats in its positions. */
export class Watcher {
  eventCount = 0;
  /** Events whose position was not the expected one. */
  positionErrors = 0;
  #nextPosition = 0;
  #isStopped = false;
  #abort = new AbortController();

  constructor(
    readonly entries: readonly string[],
    readonly service: string,
    readonly member: string,
  ) {}

  /** Reads until stopped; a new stream resumes where the last one ended. */
  async run(): Promise<void> {
    for (let n = 0; !this.#isStopped; n++) {
      await this.#readStream(this.entries[n % this.entries.length] ?? "")
        .catch(() => {});
    }
  }

  /** Ends the watch. */
  stop(): void {
    this.#isStopped = true;
    this.#abort.abort();
  }

  async #readStream(entry: string): Promise<void> {
    this.#abort = new AbortController();
    const path = `/services/${this.service}/watch?from=${this.#nextPosition}`;
    const { body } = await request(`${entry}${path}`, {
      headers: { "x-member": this.member },
      bodyTimeout: 0,
      signal: this.#abort.signal,
    });
    let partialLine = "";
    for await (const chunk of body) {
      const lines = (partialLine + chunk.toString()).split("\n");
      partialLine = lines.pop() ?? "";
      for (const line of lines) this.#handleEvent(JSON.parse(line));
    }
  }

  #handleEvent(event: { position?: number; end?: string }): void {
    if (event.position === undefined) return;
    if (event.position !== this.#nextPosition) this.positionErrors += 1;
    this.#nextPosition = event.position + 1;
    this.eventCount += 1;
  }
}
