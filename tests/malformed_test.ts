import { type AddressInfo, connect, createServer, Socket } from "node:net";
import { createServer as createHttpServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import fc from "fast-check";
import { Logger } from "../src/adapters/logger.ts";
import { JobDirectory } from "../src/cellhost/job_directory.ts";
import { Channel } from "../src/link/channel.ts";
import { isKeeperMessage } from "../src/link/is_keeper_message.ts";
import { isPeerMessage } from "../src/link/is_peer_message.ts";
import type { PeerMessage } from "../src/link/peer_message.ts";
import { PeerServer } from "../src/nodes/peer_server.ts";
import { RunnerHttpClient } from "../platform/runner_http_client.ts";
import { StoreClient } from "../platform/store_client.ts";
import { CellFixture } from "./cell_fixture.ts";
import { GateFixture } from "./gate_fixture.ts";

const log = new Logger("silent", {});

/** Sends lines to a server; resolves with what it receives once closed. */
function sendLines(port: number, lines: readonly string[]): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect({ host: "127.0.0.1", port });
    let received = "";
    socket.on("data", (chunk) => received += chunk.toString());
    socket.on("error", () => {});
    socket.on("close", () => resolve(received));
    socket.write(lines.map((line) => `${line}\n`).join(""));
  });
}

describe("a channel closes, and nothing fails,", () => {
  const cases: readonly (readonly [name: string, line: string])[] = [
    ["at a line that is not JSON", "{"],
    ["at null", "null"],
    ["at a number", "7"],
    ["at a list", "[]"],
    ["at an object without a kind", "{}"],
    ["at orders without starts", '{"kind":"orders","stops":[]}'],
    ["at a hello with a text as epoch", '{"kind":"hello","epoch":"x"}'],
  ];
  for (const [name, line] of cases) {
    it(name, async () => {
      const messages: unknown[] = [];
      let reason = "";
      const server = createServer((socket) => {
        const channel = new Channel<PeerMessage, never>(
          socket,
          isKeeperMessage as (value: unknown) => value is never,
        );
        channel.onMessage = (message) => messages.push(message);
        channel.onClose = (text) => reason = text;
      });
      await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
      const { port } = server.address() as AddressInfo;
      await sendLines(port, [line, '{"kind":"unsure"}']);
      expect(reason).to.equal("malformed message");
      expect(messages).to.eql([]);
      server.close();
    });
  }
});

describe("a process that was paused for longer than its peers' silence", () => {
  it("does not act on the messages that waited meanwhile", () => {
    const socket = new Socket();
    const channel = new Channel(socket, isKeeperMessage);
    const messages: unknown[] = [];
    let reason = "";
    channel.onMessage = (message) => messages.push(message);
    channel.onClose = (text) => reason = text;
    // A process that was stopped while it waited for input reads from its
    // sockets before it looks at its timers.
    const untilMs = performance.now() + 1_700;
    while (performance.now() < untilMs);
    socket.emit("data", Buffer.from('{"kind":"unsure"}\n'));
    expect([messages, reason]).to.eql([[], "silent"]);
    socket.destroy();
  });
});

describe("a peer server", () => {
  it("forgets the channels that have closed", async () => {
    let accepted = 0;
    const server = new PeerServer((channel) => {
      accepted += 1;
      channel.onClose = () => {};
    });
    const probe = createServer();
    await new Promise<void>((done) => probe.listen(0, "127.0.0.1", done));
    const { port } = probe.address() as AddressInfo;
    await new Promise<void>((done) => probe.close(() => done()));
    await server.listen("127.0.0.1", port);
    const hello = '{"kind":"hello","epoch":1,"keeper":"k"}';
    for (let count = 0; count < 3; count++) {
      await sendLines(port, [hello, "null"]);
    }
    expect(accepted).to.equal(3);
    while (server.openChannels > 0) await sleep(10);
    server.close();
  });
});

describe("any JSON", () => {
  it("is either handled by a gate or not a message", () => {
    const fixture = new GateFixture();
    fixture.sendHeartbeat(1);
    fc.assert(
      fc.property(messageLike(fc.constantFrom(...keeperKinds)), (value) => {
        if (isKeeperMessage(value)) fixture.gate.handleMessage(value);
      }),
      { seed: 7, numRuns: 3_000 },
    );
  });

  it("is either a report that a cell handles or not a message", () => {
    const fixture = new CellFixture();
    fixture.submit("j", [CellFixture.step()]);
    fc.assert(
      fc.property(messageLike(fc.constantFrom(...peerKinds)), (value) => {
        if (!isPeerMessage(value) || value.kind !== "report") return;
        fixture.reportWorker("w", value.report);
      }),
      { seed: 7, numRuns: 3_000 },
    );
  });
});

const keeperKinds = ["hello", "renew", "orders", "known", "noted", "forget"];
const peerKinds = ["report", "refused", "started", "superseded"];

/** Objects with the fields of messages, and values of any type in them. */
function messageLike(kind: fc.Arbitrary<string>): fc.Arbitrary<unknown> {
  const scalar = fc.oneof(
    fc.constant(null),
    fc.integer(),
    fc.string(),
    fc.boolean(),
  );
  const run = fc.record(
    {
      task: fc.oneof(fc.constant("j.0.0.0"), scalar),
      run: fc.oneof(fc.nat(), scalar),
      life: scalar,
      checkpoint: scalar,
      payload: scalar,
      resources: fc.oneof(
        fc.record({ cpuMilli: fc.nat(), memoryBytes: fc.nat() }),
        scalar,
      ),
      number: scalar,
      outcome: scalar,
      reason: scalar,
    },
    { requiredKeys: [] },
  );
  const list = fc.oneof(fc.array(fc.oneof(run, scalar)), scalar);
  const report = fc.record(
    {
      life: fc.oneof(fc.constant("w@1"), scalar),
      pool: fc.oneof(fc.constant("pool"), scalar),
      labels: fc.oneof(fc.constant([]), list),
      capacity: fc.oneof(
        fc.record({
          cpuMilli: fc.nat(),
          memoryBytes: fc.nat(),
          accelerators: fc.nat(),
        }),
        scalar,
      ),
      running: list,
      ends: list,
      unsettled: fc.oneof(fc.array(fc.string()), list),
      refusals: list,
      isUp: scalar,
    },
    { requiredKeys: [] },
  );
  return fc.record(
    {
      kind,
      epoch: scalar,
      keeper: scalar,
      number: scalar,
      report: fc.oneof(report, scalar),
      pressures: list,
      starts: list,
      stops: list,
      runs: list,
      refusals: list,
      life: scalar,
      end: scalar,
      task: scalar,
      run: scalar,
      reason: scalar,
    },
    { requiredKeys: ["kind"] },
  );
}

describe("a store's answer that cannot be read leaves the outcome unknown:", () => {
  const cases: readonly (readonly [
    name: string,
    call: "append" | "read" | "readNewest",
    status: number,
    body: string,
    kind: string,
  ])[] = [
    ["null for an append", "append", 200, "null", "unknown"],
    ["text for an append", "append", 200, "stored", "unknown"],
    ["no offsets for an append", "append", 200, "{}", "unknown"],
    ["null for a conflict", "append", 409, "null", "sequence"],
    ["a short body for a read", "read", 200, "abc", "unknown"],
    ["null for a page", "readNewest", 200, "null", "unknown"],
    ["an empty object for a page", "readNewest", 200, "{}", "unknown"],
  ];
  for (const [name, call, status, body, kind] of cases) {
    it(name, async () => {
      const server = createHttpServer((_request, response) => {
        response.writeHead(status).end(body);
      });
      await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
      const { port } = server.address() as AddressInfo;
      const client = new StoreClient(`127.0.0.1:${port}`);
      const result = call === "append"
        ? await client.append("s", [], { kind: "none" }, 500)
        : call === "read"
        ? await client.read("s", 0, 0)
        : await client.readNewest("s", undefined);
      expect(result.isErr && result.error.kind).to.equal(kind);
      server.closeAllConnections();
      server.close();
    });
  }
});

describe("a stored row that cannot be read", () => {
  for (const value of ["null", "7", "[]", "{"]) {
    it(`is ignored: ${value}`, () => {
      const directory = new JobDirectory(log);
      directory.applyJobRows([{ key: "j", value, offset: 0 }]);
      directory.applyProgressRows([{ key: "job j", value, offset: 0 }]);
      expect([directory.definitions.size, directory.rows.size]).to.eql([0, 0]);
    });
  }
});

describe("a runner's list", () => {
  it("is read without the rows that cannot be", async () => {
    const server = createHttpServer((_request, response) => {
      response.writeHead(200).end(JSON.stringify({
        born: 5,
        clockMs: 7,
        running: [["j.0.0.0", 1, "", 20, "fast"], ["j.0.0.1", "one"], null, 3],
        ended: [[4, "j.0.0.2", 1, "done", ""], ["four", "j.0.0.3", 1, "done"]],
      }));
    });
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    const { port } = server.address() as AddressInfo;
    const client = new RunnerHttpClient(`127.0.0.1:${port}`);
    const answer = await client.hold({
      instance: "i",
      epoch: 1,
      forgetUpTo: 0,
      leaseEndClockMs: undefined,
      waitMs: 0,
    });
    const list = answer.isOk ? answer.value : undefined;
    expect(list?.running.map(({ task, figure }) => [task, figure])).to.eql([
      ["j.0.0.0", 0],
    ]);
    expect(list?.ends.map(({ number }) => number)).to.eql([4]);
    server.closeAllConnections();
    server.close();
  });
});
