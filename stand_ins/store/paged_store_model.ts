import { err, ok } from "true-myth/result";
import type { NewestPage } from "../../src/core/store/newest_page.ts";
import type { StoreResult } from "../../src/core/store/store_result.ts";
import { StoreModel } from "./store_model.ts";

/** A store whose pages of newest rows hold one row each and may stay away. */
export class PagedStoreModel extends StoreModel {
  /** The streams of which no page of newest rows is answered. */
  readonly silentStreams = new Set<string>();
  /** How many of the next pages get no answer in time. */
  timeouts = 0;
  /** The pages requested, as stream and the key that they begin after. */
  readonly requests: string[] = [];

  override async readNewest(
    stream: string,
    after?: string,
  ): Promise<StoreResult<NewestPage>> {
    this.requests.push(`${stream} ${after ?? "first"}`);
    if (this.silentStreams.has(stream)) return await new Promise(() => {});
    if (after !== undefined && this.timeouts > 0) {
      this.timeouts -= 1;
      return err({ kind: "unknown", detail: "timed out" });
    }
    const all = await super.readNewest(stream);
    if (all.isErr) return all;
    const { rows } = all.value;
    const start = after === undefined
      ? 0
      : rows.findIndex(({ key }) => key === after) + 1;
    const page = rows.slice(start, start + 1);
    const more = start + 1 < rows.length ? page[0]?.key : undefined;
    return ok({ ...all.value, rows: page, more });
  }
}
