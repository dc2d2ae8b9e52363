import { expect } from "chai";
import { request } from "undici";
import { errorTable } from "../../src/core/errors/error_table.ts";
import type { Fleet } from "../../stand_ins/fleet/fleet.ts";
import { smallFleet } from "./small_fleet.ts";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

interface Case {
  readonly name: string;
  readonly method?: "GET" | "POST" | "DELETE" | "PUT";
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly says: keyof typeof errorTable;
}

const member = { "x-member": "yaba-club" };
const check = "/services/menu/check";

const cases: readonly Case[] = [
  { name: "no such path", path: "/nothing", says: "not_found" },
  {
    name: "no such method",
    method: "PUT",
    path: check,
    headers: member,
    body: "{}",
    says: "not_found",
  },
  {
    name: "no such service",
    path: "/services/none/check",
    headers: member,
    body: "{}",
    says: "unknown_service",
  },
  { name: "no member", path: check, body: "{}", says: "bad_request" },
  {
    name: "an unknown member",
    path: check,
    headers: { "x-member": "nobody" },
    body: "{}",
    says: "unknown_member",
  },
  {
    name: "a body that is not JSON",
    path: check,
    headers: member,
    body: "{",
    says: "bad_request",
  },
  {
    name: "an empty body",
    path: check,
    headers: member,
    body: "",
    says: "bad_request",
  },
  {
    name: "an over-long body",
    path: check,
    headers: member,
    body: JSON.stringify("x".repeat(70_000)),
    says: "body_too_large",
  },
  {
    name: "a timeout that is no number",
    path: check,
    headers: { ...member, "x-timeout-ms": "soon" },
    body: "{}",
    says: "bad_request",
  },
  {
    name: "a timeout of nothing",
    path: check,
    headers: { ...member, "x-timeout-ms": "0" },
    body: "{}",
    says: "bad_request",
  },
  {
    name: "an order without a key",
    path: "/services/menu/order",
    headers: member,
    body: "{}",
    says: "bad_request",
  },
  {
    name: "an order with a made-up key",
    path: "/services/menu/order",
    headers: { ...member, "idempotency-key": "mine" },
    body: "{}",
    says: "bad_request",
  },
  {
    name: "an order whose home is gone",
    path: "/services/menu/order",
    headers: { ...member, "idempotency-key": "sidecar-1~old~1~n" },
    body: "{}",
    says: "outcome_unknown",
  },
  {
    name: "a watch from nowhere",
    method: "GET",
    path: "/services/menu/watch?from=-1",
    headers: member,
    says: "bad_request",
  },
  {
    name: "an unknown template",
    path: "/jobs",
    headers: member,
    body: '{"template":"none"}',
    says: "unknown_job",
  },
  {
    name: "a submission with other fields",
    path: "/jobs",
    headers: member,
    body: '{"template":"weekly-menu","worker":"w1"}',
    says: "bad_request",
  },
  {
    name: "a job id of the caller's making",
    path: "/jobs",
    headers: member,
    body: '{"template":"weekly-menu","id":"mine"}',
    says: "bad_request",
  },
  {
    name: "a job id of another cell",
    path: "/jobs",
    headers: member,
    body: '{"template":"weekly-menu","id":"mars.1"}',
    says: "keeper_unreachable",
  },
  {
    name: "an unknown job",
    method: "GET",
    path: "/jobs/lagos-1.none",
    says: "not_found",
  },
  {
    name: "a malformed job id",
    method: "GET",
    path: "/jobs/%20",
    says: "bad_request",
  },
  {
    name: "a cancel of an unknown job",
    method: "DELETE",
    path: "/jobs/lagos-1.none",
    headers: member,
    says: "not_found",
  },
];

const files: readonly {
  name: string;
  text: string;
  args: string[];
  code: number;
  says: RegExp;
}[] = [
  {
    name: "a missing file",
    text: "",
    args: ["check", "absent.jsonc"],
    code: 2,
    says: /absent.jsonc:1:1: cannot be read: ENOENT/,
  },
  {
    name: "a malformed file",
    text: "{ nonsense",
    args: ["check"],
    code: 2,
    says: /:1:\d+: is not JSON with comments/,
  },
  {
    name: "an empty object",
    text: "{}",
    args: ["check"],
    code: 2,
    says: /venture: is missing/,
  },
  {
    name: "settings with a host name",
    text:
      '{"id":"e","dataCentre":"d","rack":"r","listen":{"host":"here","port":1},"callers":{"host":"127.0.0.1","port":1},"seeds":[],"log":{"host":"127.0.0.1","port":1}}',
    args: ["entry", "--settings"],
    code: 2,
    says: /listen.host: expected an IP number/,
  },
  {
    name: "no command",
    text: "",
    args: [],
    code: 2,
    says: /usage: name a command/,
  },
  {
    name: "an unknown command",
    text: "",
    args: ["fly"],
    code: 2,
    says: /usage: /,
  },
  {
    name: "an address without a port",
    text: "",
    args: ["history", "--log", "127.0.0.1"],
    code: 2,
    says: /is not an IP number and a port/,
  },
  {
    name: "a log that is not there",
    text: "",
    args: ["history", "--log", "127.0.0.1:1"],
    code: 5,
    says: /log_unavailable/,
  },
];

describe("bad input, with real processes", function () {
  this.timeout(90_000);
  let fleet: Fleet;
  const folder = mkdtempSync(join(tmpdir(), "gypsumpond-test-"));

  before(async () => {
    fleet = await smallFleet({ runners: 2, entries: 1 });
  });

  after(async () => {
    await fleet.stop();
    rmSync(folder, { recursive: true, force: true });
  });

  for (const { name, method = "POST", path, headers, body, says } of cases) {
    it(`${name}: ${says}`, async () => {
      const answer = await request(`${fleet.callers()}${path}`, {
        method,
        ...(headers ? { headers } : {}),
        ...(body === undefined ? {} : { body }),
      });
      const json = await answer.body.json() as Record<string, unknown>;
      expect(json.error).to.equal(says);
      expect(answer.statusCode).to.equal(errorTable[says].httpStatus);
      expect(json.ran).to.equal(errorTable[says].ran);
    });
  }

  for (const { name, text, args, code, says } of files) {
    it(`the command line: ${name}`, async () => {
      const file = join(folder, "file.jsonc");
      writeFileSync(file, text);
      const all = args.includes("check") && args.length === 1 ||
          args.includes("--settings")
        ? [...args, file]
        : args;
      const result = await fleet.command(...all);
      expect(result.output).to.match(says);
      expect(result.code).to.equal(code);
    });
  }

  it("warns of a selector that matches nothing", async () => {
    const file = join(folder, "workers.json");
    writeFileSync(file, '[{"trade":"plating"}]');
    const { code, output } = await fleet.command(
      "check",
      "examples/seniors_lunch.jsonc",
      "--workers",
      file,
    );
    expect(output).to.match(/pool\/clubs: its selector matches no worker/);
    expect(code).to.equal(0);
  });

  it("tells an operator who lost a race by whom", async () => {
    const log = ["--log", fleet.logAddress];
    const other = "examples/seniors_lunch.jsonc";
    const file = join(folder, "changed.jsonc");
    const { readFileSync } = await import("node:fs");
    writeFileSync(
      file,
      readFileSync(other, "utf8").replace(
        '"checkTimeoutMs": 400',
        '"checkTimeoutMs": 450',
      ),
    );
    const first = await fleet.command("publish", file, ...log, "--by", "ada");
    expect(first.output).to.match(/published revision=1/);
    const second = await fleet.command(
      "publish",
      other,
      ...log,
      "--by",
      "bo",
      "--based-on",
      "0",
    );
    expect(second.output).to.match(
      /conflict: service\/menu was changed by ada in revision 1/,
    );
    expect(second.code).to.equal(3);
    const history = await fleet.command("history", ...log);
    expect(history.output).to.match(/by=bo conflict/);
  });
});
