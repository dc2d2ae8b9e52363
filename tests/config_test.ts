import { expect } from "chai";
import fc from "fast-check";
import type { ConfigItem } from "../src/core/config/config_item.ts";
import { diffConfig } from "../src/core/config/diff_config.ts";
import type { ConfigRecord } from "../src/core/config/config_record.ts";
import { ConfigState } from "../src/core/config/config_state.ts";
import { itemKey } from "../src/core/config/item_key.ts";
import type { MemberId } from "../src/schema/member_id.ts";

const member = (name: string, quotaShare: number): ConfigItem => ({
  kind: "member",
  value: { name: name as MemberId, quotaShare },
});

const publish = (
  basedOn: number,
  puts: ConfigItem[],
  removes: string[] = [],
  by = "ada",
): ConfigRecord => ({
  kind: "published",
  id: "x",
  by,
  atMs: 0,
  basedOn,
  puts,
  removes,
});

const cases: readonly {
  name: string;
  records: ConfigRecord[];
  /** The verdict on the last record. */
  verdict: string;
}[] = [
  {
    name: "a first change",
    records: [publish(-1, [member("a", 0.5)])],
    verdict: "accepted",
  },
  {
    name: "concurrent changes of one item",
    records: [
      publish(-1, [member("a", 0.5)]),
      publish(-1, [member("a", 0.4)], [], "bo"),
    ],
    verdict: "conflict by ada at 0",
  },
  {
    name: "concurrent changes of two items",
    records: [publish(-1, [member("a", 0.5)]), publish(-1, [member("b", 0.4)])],
    verdict: "accepted",
  },
  {
    name: "a change based on the newest revision",
    records: [publish(-1, [member("a", 0.5)]), publish(0, [member("a", 0.4)])],
    verdict: "accepted",
  },
  {
    name: "a change based on a revision before a removal",
    records: [
      publish(-1, [member("a", 0.5)]),
      publish(0, [], ["member/a"]),
      publish(0, [member("a", 0.1)]),
    ],
    verdict: "conflict by ada at 1",
  },
  {
    name: "quotas that add up to more than 1",
    records: [publish(-1, [member("a", 0.6)]), publish(0, [member("b", 0.6)])],
    verdict: "invalid",
  },
  {
    name: "a job whose pool is missing",
    records: [
      publish(-1, [
        { kind: "job", value: { name: "j", pool: "none" } } as ConfigItem,
      ]),
    ],
    verdict: "invalid",
  },
];

describe("configuration", () => {
  for (const { name, records, verdict } of cases) {
    it(`${name}: ${verdict}`, () => {
      const state = new ConfigState();
      let actual = "";
      records.forEach((record, offset) => {
        const applied = state.apply(record, offset);
        if (applied.accepted) actual = "accepted";
        else if (applied.reason === "invalid") actual = "invalid";
        else actual = `conflict by ${applied.by} at ${applied.revision}`;
      });
      expect(actual).to.equal(verdict);
    });
  }

  it("never installs an older revision from a peer", () => {
    const quotaShare = fc.integer({ min: 1, max: 9 }).map((n) => n / 100);
    const change = fc.tuple(
      fc.constantFrom("a", "b", "c"),
      quotaShare,
      fc.integer({ min: -1, max: 20 }),
    );
    const property = fc.property(
      fc.array(change, { maxLength: 20 }),
      fc.array(fc.nat(20)),
      (changes, picks) => {
        const log = changes.map(([name, quota, basedOn]) =>
          publish(basedOn, [member(name, quota)])
        );
        const images = log.map((_, end) => {
          const state = new ConfigState();
          log.slice(0, end + 1).forEach((record, offset) =>
            state.apply(record, offset)
          );
          return state.image(end + 1);
        });
        const state = new ConfigState();
        let lastRevision = -1;
        for (const pick of picks) {
          const image = images[pick];
          if (image === undefined) continue;
          state.install(JSON.parse(JSON.stringify(image)));
          expect(state.revision).to.be.at.least(lastRevision);
          lastRevision = state.revision;
          const expected = images.find(({ revision }) =>
            revision === lastRevision
          );
          expect(new Set(state.image(0).rows.map((row) => JSON.stringify(row))))
            .to.eql(
              new Set((expected?.rows ?? []).map((row) => JSON.stringify(row))),
            );
        }
      },
    );
    fc.assert(property, { seed: 3, numRuns: 300 });
  });

  it("computes the smallest change", () => {
    const state = new ConfigState();
    state.apply(publish(-1, [member("a", 0.1), member("b", 0.2)]), 0);
    const { puts, removes } = diffConfig(state, [
      member("a", 0.1),
      member("c", 0.3),
    ]);
    expect(puts.map(itemKey)).to.eql(["member/c"]);
    expect(removes).to.eql(["member/b"]);
  });
});
