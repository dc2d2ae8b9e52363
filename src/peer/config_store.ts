import type { ConfigImage } from "../core/config/config_image.ts";
import type { ConfigRecord } from "../core/config/config_record.ts";
import { ConfigState } from "../core/config/config_state.ts";
import type { Log } from "../core/log/log.ts";
import type { LogPage } from "../core/log/log_page.ts";
import { configStream } from "./config_stream.ts";
import { parseConfigRecord } from "./parse_config_record.ts";

const pageRecords = 500;

/** The configuration in force in this process; its revision only goes up. */
export class ConfigStore {
  readonly state = new ConfigState();
  /** Offset of the next record to read from the log. */
  #next = 0;
  /** Records aged out unread; changes wait for a whole configuration. */
  #hasGap = false;

  /** Reads what was published since; false where the log cannot be reached. */
  async readLog(log: Log): Promise<boolean> {
    try {
      while (await this.#readPage(log)) continue;
      return true;
    } catch {
      return false;
    }
  }

  /** The configuration in force, and up to where it is complete. */
  image(): ConfigImage {
    return this.state.image(this.#next);
  }

  /** Takes over a neighbour's configuration if it is newer. */
  install(image: ConfigImage): boolean {
    const isNewer = this.state.install(image);
    const isComplete = image.revision >= this.state.revision;
    if (isComplete && (this.#hasGap || image.covers > this.#next)) {
      this.#next = image.covers;
      this.#hasGap = false;
    }
    return isNewer;
  }

  /** Restates the configuration, so that it outlives the log's retention. */
  async restate(log: Log, by: string): Promise<void> {
    if (this.#hasGap || this.state.revision < 0) return;
    const atMs = Date.now();
    const image = this.image();
    const id = `${by}-${atMs}`;
    const record: ConfigRecord = { kind: "restated", id, by, atMs, image };
    await log.append(configStream, [record]);
  }

  async #readPage(log: Log): Promise<boolean> {
    const page = await log.read(configStream, this.#next, pageRecords);
    if (page.from > this.#next) this.#hasGap = true;
    if (this.#hasGap) return this.#bridge(page);
    for (const raw of page.records) {
      const record = parseConfigRecord(raw);
      if (record?.kind === "published") this.state.apply(record, this.#next);
      this.#next += 1;
    }
    return this.#next < page.end;
  }

  /** Past a gap only a whole configuration can be trusted. */
  #bridge(page: LogPage): boolean {
    this.#next = page.from + page.records.length;
    for (const raw of page.records) {
      const record = parseConfigRecord(raw);
      if (record?.kind !== "restated" || record.image.covers < page.oldest) {
        continue;
      }
      this.install(record.image);
      return this.#next < page.end;
    }
    return this.#next < page.end;
  }
}
