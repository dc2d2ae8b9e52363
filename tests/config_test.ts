import { expect } from "chai";
import fc from "fast-check";
import type { ConfigItem } from "../src/core/config/config_item.ts";
import { configChange } from "../src/core/config/config_change.ts";
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
  ends: string;
}[] = [
  {
    name: "a first change",
    records: [publish(-1, [member("a", 0.5)])],
    ends: "accepted",
  },
  {
    name: "a race for one item",
    records: [
      publish(-1, [member("a", 0.5)]),
      publish(-1, [member("a", 0.4)], [], "bo"),
    ],
    ends: "conflict by ada at 0",
  },
  {
    name: "a race for two items",
    records: [publish(-1, [member("a", 0.5)]), publish(-1, [member("b", 0.4)])],
    ends: "accepted",
  },
  {
    name: "a change of what was seen",
    records: [publish(-1, [member("a", 0.5)]), publish(0, [member("a", 0.4)])],
    ends: "accepted",
  },
  {
    name: "a removal that was not seen",
    records: [
      publish(-1, [member("a", 0.5)]),
      publish(0, [], ["member/a"]),
      publish(0, [member("a", 0.1)]),
    ],
    ends: "conflict by ada at 1",
  },
  {
    name: "quotas over the whole",
    records: [publish(-1, [member("a", 0.6)]), publish(0, [member("b", 0.6)])],
    ends: "invalid",
  },
  {
    name: "a job without its pool",
    records: [
      publish(-1, [
        { kind: "job", value: { name: "j", pool: "none" } } as ConfigItem,
      ]),
    ],
    ends: "invalid",
  },
];

describe("configuration", () => {
  for (const { name, records, ends } of cases) {
    it(`${name}: ${ends}`, () => {
      const state = new ConfigState();
      let said = "";
      records.forEach((record, offset) => {
        const verdict = state.apply(record, offset);
        if (verdict.accepted) said = "accepted";
        else if (verdict.reason === "invalid") said = "invalid";
        else said = `conflict by ${verdict.by} at ${verdict.revision}`;
      });
      expect(said).to.equal(ends);
    });
  }

  it("never reverts, whichever neighbours it listens to", () => {
    const share = fc.integer({ min: 1, max: 9 }).map((n) => n / 100);
    const change = fc.tuple(
      fc.constantFrom("a", "b", "c"),
      share,
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
        let before = -1;
        for (const pick of picks) {
          const image = images[pick];
          if (image === undefined) continue;
          state.install(JSON.parse(JSON.stringify(image)));
          expect(state.revision).to.be.at.least(before);
          before = state.revision;
          const same = images.find(({ revision }) => revision === before);
          expect(new Set(state.image(0).rows.map((row) => JSON.stringify(row))))
            .to.eql(
              new Set((same?.rows ?? []).map((row) => JSON.stringify(row))),
            );
        }
      },
    );
    fc.assert(property, { seed: 3, numRuns: 300 });
  });

  it("works out the least change", () => {
    const state = new ConfigState();
    state.apply(publish(-1, [member("a", 0.1), member("b", 0.2)]), 0);
    const { puts, removes } = configChange(state, [
      member("a", 0.1),
      member("c", 0.3),
    ]);
    expect(puts.map(itemKey)).to.eql(["member/c"]);
    expect(removes).to.eql(["member/b"]);
  });
});
