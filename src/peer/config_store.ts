import * as v from "valibot";
import type { ConfigImage } from "../core/config/config_image.ts";
import type { ConfigRecord } from "../core/config/config_record.ts";
import { ConfigState } from "../core/config/config_state.ts";
import type { Log } from "../core/log/log.ts";
import { ConfigRecordSchema } from "../schema/config_record_schema.ts";

const stream = "config";
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

  /** Takes over a neighbour's configuration if it is newer. */
  install(image: ConfigImage): boolean {
    this.#hasGap = false;
    return this.state.install(image);
  }

  /** Restates the configuration, so that it outlives the log's retention. */
  async restate(log: Log, by: string): Promise<void> {
    if (this.#hasGap || this.state.revision < 0) return;
    const atMs = Date.now();
    const image = this.state.image();
    const id = `${by}-${atMs}`;
    const record: ConfigRecord = { kind: "restated", id, by, atMs, image };
    await log.append(stream, [record]);
  }

  async #readPage(log: Log): Promise<boolean> {
    const page = await log.read(stream, this.#next, pageRecords);
    let offset = page.from;
    if (page.from > this.#next) this.#hasGap = true;
    for (const raw of page.records) {
      const record = v.safeParse(ConfigRecordSchema, raw);
      if (record.success) this.#apply(record.output as ConfigRecord, offset);
      offset += 1;
    }
    this.#next = offset;
    return offset < page.end;
  }

  #apply(record: ConfigRecord, offset: number): void {
    if (record.kind === "restated") {
      this.install(record.image);
      return;
    }
    const isNew = offset > this.state.revision;
    if (isNew && !this.#hasGap) this.state.apply(record, offset);
  }
}
