import type { KeeperLinks } from "./keeper_links.ts";
import type { RowWriter } from "./row_writer.ts";

/** Resend interval of `unsure` while the store stays unreachable. */
const unsureIntervalMs = 400;

/** Tells the entries while a keeper cannot reach the store. */
export class UnsureNotice {
  #sentAtMs = 0;

  constructor(
    readonly writer: RowWriter,
    readonly links: KeeperLinks,
  ) {}

  sendIfDue(nowMs: number): void {
    if (!this.writer.isUnsure(nowMs)) return;
    if (nowMs - this.#sentAtMs < unsureIntervalMs) return;
    this.#sentAtMs = nowMs;
    this.links.sendToEntries({ kind: "unsure" });
  }
}
