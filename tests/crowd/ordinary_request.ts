import { connect } from "node:net";
import { request } from "undici";
import { parseEndpoint } from "../../src/cli/parse_endpoint.ts";
import { callersHost } from "../soak/callers_host.ts";

const timeoutMs = 3_000;

const job = { spec: "s", steps: [{ count: 1, cpu: 100 }] };
const heartbeat = {
  service: "pool",
  address: "127.0.0.1:1",
  zone: "z",
  version: "v",
  slots: 1,
  state: "ready",
  coldRemainingMs: 0,
  sequence: 1,
  capacity: { cpu: 1_000, memMb: 1_000, gpu: 0 },
  labels: [],
  clockMs: 1,
  born: 1,
};
/** What those send whom a listener is there for; each is to be answered. */
export const ordinaryRequest = {
  job: (address: string, id = "00000000000000aa") =>
    isAnswered(address, "POST", `/q/${id}`, job),
  heartbeat: (address: string) =>
    isAnswered(address, "POST", "/v1/instances/r/heartbeat", heartbeat),
  probe: (address: string) => isAnswered(address, "GET", "/"),
  hello: (address: string) => isKeeperHeard(address),
};

/** Whether a request on a connection of its own is answered with success. */
async function isAnswered(
  address: string,
  method: "GET" | "POST",
  path: string,
  body?: unknown,
): Promise<boolean> {
  const { statusCode, body: answer } = await request(
    `http://${address}${path}`,
    {
      method,
      headers: { host: callersHost, connection: "close" },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      reset: true,
      signal: AbortSignal.timeout(timeoutMs),
    },
  );
  await answer.dump();
  return statusCode === 200;
}

/** Whether a keeper is heard: an older one is then told that it is superseded. */
async function isKeeperHeard(address: string): Promise<boolean> {
  return await isHelloAnswered(address, 1, "\n") &&
    await isHelloAnswered(address, 0, "{");
}

/** Whether a hello is answered with something that contains the text. */
function isHelloAnswered(
  address: string,
  epoch: number,
  text: string,
): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ ...parseEndpoint(address), timeout: timeoutMs });
    const done = (isAnswered: boolean) => {
      socket.destroy();
      resolve(isAnswered);
    };
    socket.on("error", () => {});
    socket.on("timeout", () => done(false));
    socket.on("close", () => resolve(false));
    socket.on("data", (chunk) => {
      if (chunk.includes(text)) done(true);
    });
    socket.write(`{"kind":"hello","epoch":${epoch},"keeper":"none"}\n`);
  });
}
