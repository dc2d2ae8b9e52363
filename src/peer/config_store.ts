import type { ConfigImage } from "../core/config/config_image.ts";
import type { ConfigRecord } from "../core/config/config_record.ts";
import { ConfigState } from "../core/config/config_state.ts";
import type { Log } from "../core/log/log.ts";
import type { LogPage } from "../core/log/log_page.ts";
import { configStream } from "./config_stream.ts";
import { parseConfigRecord } from "./parse_config_record.ts";

/** How many records one read of the log requests. */
const pageRecords = 500;

/** The configuration in force in this process; its revision never decreases. */
export class ConfigStore {
  readonly state = new ConfigState();
  /** Offset of the next record to read from the log. */
  #offset = 0;
  /**
   * Whether records were trimmed from the log before they were read. Changes
   * are then skipped until a whole configuration is installed.
   */
  #hasGap = false;

  /** Reads the log to its end; false where the log is unreachable. */
  async readLog(log: Log): Promise<boolean> {
    try {
      while (await this.#readPage(log)) continue;
      return true;
    } catch {
      return false;
    }
  }

  /** The configuration in force, with the offset up to which it is complete. */
  image(): ConfigImage {
    return this.state.image(this.#offset);
  }

  /** Installs a peer's configuration; true where it was newer. */
  install(image: ConfigImage): boolean {
    const isNewer = this.state.install(image);
    const isComplete = image.revision >= this.state.revision;
    if (isComplete && (this.#hasGap || image.covers > this.#offset)) {
      this.#offset = image.covers;
      this.#hasGap = false;
    }
    return isNewer;
  }

  /** Appends the whole configuration, so that it survives log retention. */
  async restate(log: Log, by: string): Promise<void> {
    if (this.#hasGap || this.state.revision < 0) return;
    const atMs = Date.now();
    const image = this.image();
    const id = `${by}-${atMs}`;
    const record: ConfigRecord = { kind: "restated", id, by, atMs, image };
    await log.append(configStream, [record]);
  }

  async #readPage(log: Log): Promise<boolean> {
    const page = await log.read(configStream, this.#offset, pageRecords);
    if (page.from > this.#offset) this.#hasGap = true;
    if (this.#hasGap) return this.#readAcrossGap(page);
    for (const raw of page.records) {
      const record = parseConfigRecord(raw);
      if (record?.kind === "published") this.state.apply(record, this.#offset);
      this.#offset += 1;
    }
    return this.#offset < page.end;
  }

  /** After a gap, skips changes up to a record of the whole configuration. */
  #readAcrossGap(page: LogPage): boolean {
    this.#offset = page.from + page.records.length;
    for (const raw of page.records) {
      const record = parseConfigRecord(raw);
      if (record?.kind !== "restated" || record.image.covers < page.oldest) {
        continue;
      }
      this.install(record.image);
      return this.#offset < page.end;
    }
    return this.#offset < page.end;
  }
}
