import { readFileSync } from "node:fs";
import { expect } from "chai";
import fc from "fast-check";
import { formatIssue } from "../src/settings/format_issue.ts";
import { safeParseFile } from "../src/settings/safe_parse_file.ts";
import { Configuration } from "../src/schema/configuration.ts";
import { EntrySettings } from "../src/schema/entry_settings.ts";

const validText = `{
  // where this process is
  "id": "entry-1",
  "dataCentre": "lagos-1",
  "rack": "r1",
  "listen": { "host": "127.0.0.1", "port": 7001 },
  "callers": { "host": "127.0.0.1", "port": 8001 },
  "seeds": [],
  "log": { "host": "127.0.0.1", "port": 7000 },
}`;

const cases: readonly {
  name: string;
  from: string;
  to: string;
  message: RegExp;
}[] = [
  {
    name: "a missing field",
    from: '"rack": "r1",',
    to: "",
    message: /^f:1:1: rack: is missing/,
  },
  {
    name: "an unknown field",
    from: '"seeds": [],',
    to: '"seeds": [], "speed": 3,',
    message: /^f:8:16: speed: no such field/,
  },
  {
    name: "a host name",
    from: '"host": "127.0.0.1", "port": 7000',
    to: '"host": "log", "port": 7000',
    message: /^f:9:12: log.host: expected an IP number/,
  },
  {
    name: "a wrong type",
    from: "7001",
    to: '"7001"',
    message: /^f:6:36: listen.port: .*expected number/i,
  },
  {
    name: "a port out of range",
    from: "7001",
    to: "70010",
    message: /^f:6:36: listen.port: /,
  },
  {
    name: "a malformed id",
    from: '"entry-1"',
    to: '"entry 1"',
    message: /^f:3:3: id: expected 1 to 64 letters/,
  },
  {
    name: "an unknown level",
    from: '"seeds": [],',
    to: '"seeds": [], "logLevel": "loud",',
    message: /logLevel: /,
  },
  {
    name: "a unit in a number",
    from: '"seeds": [],',
    to: '"seeds": [], "maxBodyBytes": "64 KB",',
    message: /maxBodyBytes: /,
  },
  {
    name: "broken JSON",
    from: '"seeds": [],',
    to: '"seeds": [,',
    message: /^f:8:\d+: is not JSON with comments/,
  },
  {
    name: "an empty file",
    from: validText,
    to: "",
    message: /^f:1:1: is not JSON with comments/,
  },
];

describe("settings", () => {
  it("reads JSON with comments", () => {
    const parsed = safeParseFile("f", validText, EntrySettings);
    expect(parsed.isOk).to.equal(true);
  });

  for (const { name, from, to, message } of cases) {
    it(`reports the position of ${name}`, () => {
      const text = validText.replace(from, to);
      expect(text).not.to.equal(validText);
      const issues = safeParseFile("f", text, EntrySettings)
        .match({ Ok: () => [], Err: (found) => found.map(formatIssue) });
      expect(issues[0]).to.match(message);
    });
  }

  it("never throws on any text", () => {
    const texts = fc.oneof(fc.string(), fc.json());
    fc.assert(
      fc.property(texts, (text) => {
        safeParseFile("f", text, EntrySettings);
        safeParseFile("f", text, Configuration);
      }),
      { seed: 4, numRuns: 500 },
    );
  });

  for (const name of ["seniors_lunch", "plating_line"]) {
    it(`accepts the example ${name}`, () => {
      const text = readFileSync(`examples/${name}.jsonc`, "utf8");
      expect(safeParseFile(name, text, Configuration).isOk).to.equal(true);
    });
  }
});
