import { connect, type Socket } from "node:net";
import { expect } from "chai";
import { Logger } from "../src/adapters/logger.ts";
import { parseEndpoint } from "../src/cli/parse_endpoint.ts";
import { BoundedServer } from "../src/http/bounded_server.ts";
import { readBody } from "../src/http/read_body.ts";
import { RequestBounds } from "../src/http/request_bounds.ts";
import { sendFailure } from "../src/http/send_failure.ts";
import { sendJson } from "../src/http/send_json.ts";
import { allocatePort } from "../stand_ins/fleet/allocate_port.ts";

const log = new Logger("silent", {});
const headerBytes = 16_384;
const maxBytes = 20_000;
const limits = {
  heldBytes: 3 * headerBytes + 2 * maxBytes,
  connections: 10,
};
const forEverMs = 60_000;

/** A client that sends part of a request, and collects its answer. */
class Client {
  answer = "";
  readonly closed: Promise<void>;
  readonly #socket: Socket;

  constructor(address: string, bytes: string) {
    this.#socket = connect(parseEndpoint(address));
    this.#socket.on("error", () => {});
    this.#socket.on("data", (chunk) => this.answer += chunk.toString());
    this.closed = new Promise((done) => this.#socket.once("close", done));
    this.#socket.write(bytes);
  }
}

function begin(declaredBytes: number, sentBytes: number): string {
  return `POST / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n` +
    `content-length: ${declaredBytes}\r\n\r\n${"x".repeat(sentBytes)}`;
}

const whole = begin(5, 5);
/** Requests that are sent ahead of their answers. */
function ahead(count: number): string {
  return "GET / HTTP/1.1\r\nhost: h\r\n\r\n".repeat(count - 1) +
    "GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
}

const chunkOverLimit = "POST / HTTP/1.1\r\nhost: h\r\n" +
  "transfer-encoding: chunked\r\n\r\n" +
  `${(maxBytes + 1).toString(16)}\r\n${"x".repeat(maxBytes + 1)}\r\n`;
const ok = "200 OK";
const refused = "503 Service Unavailable";

describe("requests under way share a budget", () => {
  const cases: readonly {
    name: string;
    /** What each client sends, one after the other. */
    clients: readonly string[];
    withinMs?: number;
    answers: readonly string[];
  }[] = [
    { name: "a whole body is read", clients: [whole], answers: [ok] },
    {
      name: "the oldest unfinished body gives way, and no whole one",
      clients: [begin(maxBytes, 19_999), begin(maxBytes, 19_999), whole],
      answers: [refused, "", ok],
    },
    {
      name: "a body that is late is refused",
      clients: [begin(maxBytes, 1)],
      withinMs: 20,
      answers: [refused],
    },
    {
      name: "a body that is over the limit is told so",
      clients: [begin(maxBytes + 1, 0), chunkOverLimit],
      answers: ["413 Payload Too Large", "413 Payload Too Large"],
    },
  ];
  for (const { name, clients, withinMs = forEverMs, answers } of cases) {
    it(name, async () => {
      const bounds = new RequestBounds(limits);
      let read = 0;
      const server = new BoundedServer(
        bounds,
        async (request, response, hold) => {
          read += 1;
          try {
            await readBody(request, { maxBytes, withinMs, hold });
            sendJson(response, 200, {});
          } catch (cause) {
            sendFailure(response, cause, log);
          }
        },
      );
      const address = `127.0.0.1:${await allocatePort()}`;
      await server.listen(address);
      const senders: Client[] = [];
      for (const bytes of clients) {
        senders.push(new Client(address, bytes));
        while (read < senders.length) await new Promise(setImmediate);
      }
      const expected = answers.map((status) => status !== "");
      await Promise.all(
        senders.filter((_, at) => expected[at]).map(({ closed }) => closed),
      );
      expect(
        senders.map(({ answer }) => answer.slice(9, 9 + 40).split("\r")[0]),
      )
        .to.eql(answers);
      for (const { answer } of senders) {
        expect(answer.includes("retry-after: 1"))
          .to.equal(answer.includes(refused));
      }
      server.close();
    });
  }
});

describe("requests sent ahead on one connection", () => {
  const cases = [
    { name: "are answered up to a bound", count: 8, answers: 8 },
    { name: "close it beyond", count: 9, answers: 0 },
  ];
  for (const { name, count, answers } of cases) {
    it(name, async () => {
      let wake = () => {};
      const allHere = new Promise<void>((resolve) => wake = resolve);
      let here = 0;
      const server = new BoundedServer(
        new RequestBounds({ ...limits, heldBytes: count * headerBytes }),
        async (_request, response) => {
          here += 1;
          if (here === 8) wake();
          await allHere;
          sendJson(response, 200, {});
        },
      );
      const address = `127.0.0.1:${await allocatePort()}`;
      await server.listen(address);
      const client = new Client(address, ahead(count));
      await client.closed;
      expect(client.answer.split(ok).length - 1).to.equal(answers);
      const next = new Client(address, ahead(1));
      await next.closed;
      expect(next.answer).to.include(ok);
      server.close();
    });
  }
});

describe("an answer that nobody reads", () => {
  it("does not keep its connection", async () => {
    const server = new BoundedServer(
      new RequestBounds(limits),
      (_request, response) => {
        response.once("close", closed);
        response.end(Buffer.alloc(20_000_000));
      },
    );
    let closed = () => {};
    const isClosed = new Promise<void>((resolve) => closed = resolve);
    server.setTimeouts(forEverMs, forEverMs, 50);
    const address = `127.0.0.1:${await allocatePort()}`;
    await server.listen(address);
    const socket = connect(parseEndpoint(address));
    socket.on("error", () => {});
    socket.write(ahead(1));
    await isClosed;
    socket.destroy();
    server.close();
  });
});
