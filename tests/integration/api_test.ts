import { expect } from "chai";
import { request } from "undici";
import { errorTable } from "../../src/core/errors/error_table.ts";
import type { Fleet } from "../../stand_ins/fleet/fleet.ts";
import { startSmallFleet } from "./start_small_fleet.ts";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

interface RequestCase {
  readonly name: string;
  readonly method?: "GET" | "POST" | "DELETE" | "PUT";
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly error: keyof typeof errorTable;
}

const memberHeader = { "x-member": "yaba-club" };
const checkPath = "/services/menu/check";

const cases: readonly RequestCase[] = [
  { name: "no such path", path: "/nothing", error: "not_found" },
  {
    name: "no such method",
    method: "PUT",
    path: checkPath,
    headers: memberHeader,
    body: "{}",
    error: "not_found",
  },
  {
    name: "no such service",
    path: "/services/none/check",
    headers: memberHeader,
    body: "{}",
    error: "unknown_service",
  },
  { name: "no member", path: checkPath, body: "{}", error: "bad_request" },
  {
    name: "an unknown member",
    path: checkPath,
    headers: { "x-member": "nobody" },
    body: "{}",
    error: "unknown_member",
  },
  {
    name: "a body that is not JSON",
    path: checkPath,
    headers: memberHeader,
    body: "{",
    error: "bad_request",
  },
  {
    name: "an empty body",
    path: checkPath,
    headers: memberHeader,
    body: "",
    error: "bad_request",
  },
  {
    name: "an over-long body",
    path: checkPath,
    headers: memberHeader,
    body: JSON.stringify("x".repeat(70_000)),
    error: "body_too_large",
  },
  {
    name: "a timeout that is not a number",
    path: checkPath,
    headers: { ...memberHeader, "x-timeout-ms": "soon" },
    body: "{}",
    error: "bad_request",
  },
  {
    name: "a timeout of zero",
    path: checkPath,
    headers: { ...memberHeader, "x-timeout-ms": "0" },
    body: "{}",
    error: "bad_request",
  },
  {
    name: "an order without a key",
    path: "/services/menu/order",
    headers: memberHeader,
    body: "{}",
    error: "bad_request",
  },
  {
    name: "an order with a key that was not issued here",
    path: "/services/menu/order",
    headers: { ...memberHeader, "idempotency-key": "mine" },
    body: "{}",
    error: "bad_request",
  },
  {
    name: "an order with a key from an earlier life of its sidecar",
    path: "/services/menu/order",
    headers: { ...memberHeader, "idempotency-key": "sidecar-1~old~1~n" },
    body: "{}",
    error: "outcome_unknown",
  },
  {
    name: "a watch from a negative position",
    method: "GET",
    path: "/services/menu/watch?from=-1",
    headers: memberHeader,
    error: "bad_request",
  },
  {
    name: "an unknown template",
    path: "/jobs",
    headers: memberHeader,
    body: '{"template":"none"}',
    error: "unknown_job",
  },
  {
    name: "a submission with an unknown field",
    path: "/jobs",
    headers: memberHeader,
    body: '{"template":"weekly-menu","worker":"w1"}',
    error: "bad_request",
  },
  {
    name: "a job id that was not issued here",
    path: "/jobs",
    headers: memberHeader,
    body: '{"template":"weekly-menu","id":"mine"}',
    error: "bad_request",
  },
  {
    name: "a job id of another cell",
    path: "/jobs",
    headers: memberHeader,
    body: '{"template":"weekly-menu","id":"mars.1"}',
    error: "keeper_unreachable",
  },
  {
    name: "an unknown job",
    method: "GET",
    path: "/jobs/lagos-1.none",
    error: "not_found",
  },
  {
    name: "a malformed job id",
    method: "GET",
    path: "/jobs/%20",
    error: "bad_request",
  },
  {
    name: "cancelling an unknown job",
    method: "DELETE",
    path: "/jobs/lagos-1.none",
    headers: memberHeader,
    error: "not_found",
  },
];

const commandCases: readonly {
  name: string;
  /** Content of the file that is passed to `check` or `--settings`. */
  text: string;
  args: string[];
  exitCode: number;
  output: RegExp;
}[] = [
  {
    name: "a missing file",
    text: "",
    args: ["check", "absent.jsonc"],
    exitCode: 2,
    output: /absent.jsonc:1:1: cannot be read: ENOENT/,
  },
  {
    name: "a malformed file",
    text: "{ nonsense",
    args: ["check"],
    exitCode: 2,
    output: /:1:\d+: is not JSON with comments/,
  },
  {
    name: "an empty object",
    text: "{}",
    args: ["check"],
    exitCode: 2,
    output: /venture: is missing/,
  },
  {
    name: "settings with a host name",
    text:
      '{"id":"e","dataCentre":"d","rack":"r","listen":{"host":"here","port":1},"callers":{"host":"127.0.0.1","port":1},"seeds":[],"log":{"host":"127.0.0.1","port":1}}',
    args: ["entry", "--settings"],
    exitCode: 2,
    output: /listen.host: expected an IP number/,
  },
  {
    name: "no command",
    text: "",
    args: [],
    exitCode: 2,
    output: /usage: name a command/,
  },
  {
    name: "an unknown command",
    text: "",
    args: ["fly"],
    exitCode: 2,
    output: /usage: /,
  },
  {
    name: "an address without a port",
    text: "",
    args: ["history", "--log", "127.0.0.1"],
    exitCode: 2,
    output: /is not an IP number and a port/,
  },
  {
    name: "a log that cannot be reached",
    text: "",
    args: ["history", "--log", "127.0.0.1:1"],
    exitCode: 5,
    output: /log_unavailable/,
  },
];

describe("bad input to real processes", function () {
  this.timeout(90_000);
  let fleet: Fleet;
  const folder = mkdtempSync(join(tmpdir(), "gypsumpond-test-"));

  before(async () => {
    fleet = await startSmallFleet({ runners: 2, entries: 1 });
  });

  after(async () => {
    await fleet.stop();
    rmSync(folder, { recursive: true, force: true });
  });

  for (
    const { name, method = "POST", path, headers, body, error } of cases
  ) {
    it(`${name}: ${error}`, async () => {
      const answer = await request(`${fleet.entryUrl()}${path}`, {
        method,
        ...(headers ? { headers } : {}),
        ...(body === undefined ? {} : { body }),
      });
      const json = await answer.body.json() as Record<string, unknown>;
      expect(json.error).to.equal(error);
      expect(answer.statusCode).to.equal(errorTable[error].httpStatus);
      expect(json.ran).to.equal(errorTable[error].ran);
    });
  }

  for (const { name, text, args, exitCode, output } of commandCases) {
    it(`the command line: ${name}`, async () => {
      const file = join(folder, "file.jsonc");
      writeFileSync(file, text);
      const fullArgs = args.includes("check") && args.length === 1 ||
          args.includes("--settings")
        ? [...args, file]
        : args;
      const result = await fleet.runCommand(...fullArgs);
      expect(result.output).to.match(output);
      expect(result.code).to.equal(exitCode);
    });
  }

  it("warns about a selector that matches no worker", async () => {
    const file = join(folder, "workers.json");
    writeFileSync(file, '[{"trade":"plating"}]');
    const { code, output } = await fleet.runCommand(
      "check",
      "examples/seniors_lunch.jsonc",
      "--workers",
      file,
    );
    expect(output).to.match(/pool\/clubs: its selector matches no worker/);
    expect(code).to.equal(0);
  });

  it("names the operator whose change won a conflict", async () => {
    const log = ["--log", fleet.logAddress];
    const example = "examples/seniors_lunch.jsonc";
    const changedFile = join(folder, "changed.jsonc");
    const { readFileSync } = await import("node:fs");
    writeFileSync(
      changedFile,
      readFileSync(example, "utf8").replace(
        '"checkTimeoutMs": 400',
        '"checkTimeoutMs": 450',
      ),
    );
    const first = await fleet.runCommand(
      "publish",
      changedFile,
      ...log,
      "--by",
      "ada",
    );
    expect(first.output).to.match(/published revision=1/);
    const second = await fleet.runCommand(
      "publish",
      example,
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
    const history = await fleet.runCommand("history", ...log);
    expect(history.output).to.match(/by=bo conflict/);
  });
});
