import type { MemberId } from "../../schema/member_id.ts";
import type { ConfigImage } from "./config_image.ts";
import { configProblems } from "./config_problems.ts";
import type { ConfigRecord } from "./config_record.ts";
import type { ConfigRow } from "./config_row.ts";
import type { ConfigVerdict } from "./config_verdict.ts";
import type { ItemValues } from "./item_values.ts";
import { itemKey } from "./item_key.ts";

/** The revision before anything is published. */
const noRevision = -1;

/** The configuration that results from applying the records of its stream. */
export class ConfigState {
  revision: number = noRevision;
  readonly rows = new Map<string, ConfigRow>();
  /** For each removed key, the revision and the operator that removed it. */
  readonly removed = new Map<string, readonly [number, string]>();

  /** Applies the record; if accepted, its offset becomes the revision. */
  apply(record: ConfigRecord, offset: number): ConfigVerdict {
    if (record.kind === "restated") return this.#restate(record.image);
    const conflict = this.#conflictOf(record);
    if (conflict !== undefined) return conflict;
    const problem = this.#problemAfter(record);
    if (problem !== undefined) {
      return { accepted: false, reason: "invalid", problem };
    }
    const { by } = record;
    for (const key of record.removes) {
      this.rows.delete(key);
      this.removed.set(key, [offset, by]);
    }
    for (const item of record.puts) {
      this.rows.set(itemKey(item), { item, revision: offset, by });
      this.removed.delete(itemKey(item));
    }
    this.revision = offset;
    return { accepted: true, revision: offset };
  }

  /** Replaces the state if the image is newer; returns whether it was. */
  install(image: ConfigImage): boolean {
    if (image.revision <= this.revision) return false;
    this.rows.clear();
    this.removed.clear();
    for (const row of image.rows) this.rows.set(itemKey(row.item), row);
    for (const [key, revision, by] of image.removed) {
      this.removed.set(key, [revision, by]);
    }
    this.revision = image.revision;
    return true;
  }

  /** Returns a snapshot of the state, complete up to the offset `covers`. */
  image(covers: number): ConfigImage {
    const removed = [...this.removed].map(([key, [revision, by]]) =>
      [key, revision, by] as const
    );
    return {
      revision: this.revision,
      covers,
      rows: [...this.rows.values()],
      removed,
    };
  }

  /** Yields the values of one kind of item. */
  *valuesOf<K extends keyof ItemValues>(kind: K): Generator<ItemValues[K]> {
    for (const { item } of this.rows.values()) {
      if (item.kind !== kind) continue;
      yield item.value as ItemValues[K];
    }
  }

  /** The value of one item, if it is in force. */
  find<K extends keyof ItemValues>(
    kind: K,
    name: string,
  ): ItemValues[K] | undefined {
    const item = this.rows.get(`${kind}/${name}`)?.item;
    return item?.value as ItemValues[K] | undefined;
  }

  /** A member's share of the instances; all of them if it is unknown. */
  quotaOf(member: MemberId): number {
    return this.find("member", member)?.quotaShare ?? 1;
  }

  #restate(image: ConfigImage): ConfigVerdict {
    this.install(image);
    return { accepted: true, revision: this.revision };
  }

  #conflictOf(
    record: Extract<ConfigRecord, { kind: "published" }>,
  ): ConfigVerdict | undefined {
    const keys = [...record.removes, ...record.puts.map(itemKey)];
    for (const key of keys) {
      const row = this.rows.get(key);
      const removal = this.removed.get(key);
      const [revision, by] = row ? [row.revision, row.by] : removal ?? [-1, ""];
      if (revision <= record.basedOn) continue;
      return { accepted: false, reason: "conflict", key, by, revision };
    }
    return undefined;
  }

  #problemAfter(
    record: Extract<ConfigRecord, { kind: "published" }>,
  ): string | undefined {
    const next = new Map(this.rows);
    for (const key of record.removes) next.delete(key);
    for (const item of record.puts) {
      next.set(itemKey(item), { item, revision: 0, by: "" });
    }
    const items = [...next.values()].map(({ item }) => item);
    const [problem] = configProblems(items);
    return problem;
  }
}
