import { connect } from "node:net";
import { expect } from "chai";
import { parseEndpoint } from "../src/cli/parse_endpoint.ts";
import { CrowdDeployment } from "./crowd/crowd_deployment.ts";
import { ordinaryRequest } from "./crowd/ordinary_request.ts";
import { waitFor } from "./integration/wait_for.ts";
import { callersHost } from "./soak/callers_host.ts";

const bodyBytes = 262_000;
const timeoutMs = 60_000;
const job = JSON.stringify({ spec: "s", steps: [{ count: 1 }] })
  .padEnd(bodyBytes, " ");

/** Sends a whole request; resolves with the first line of the answer. */
function send(address: string, length: string, bytes: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(parseEndpoint(address));
    socket.on("error", (cause) => resolve(cause.message));
    socket.on("close", () => resolve("no answer"));
    socket.on("data", (chunk) => {
      resolve(chunk.toString().split("\r\n")[0]!);
      socket.destroy();
    });
    socket.write(
      "POST /q/00000000000000cc HTTP/1.1\r\n" +
        `host: ${callersHost}\r\n${length}\r\n\r\n${bytes}`,
    );
  });
}

describe("a whole body within the limits is served in calm", function () {
  this.timeout(timeoutMs);
  const chunked = "transfer-encoding: chunked";
  const cases = [
    {
      name: "in chunks of a byte",
      length: chunked,
      bytes: [...job].map((byte) => `1\r\n${byte}\r\n`).join("") +
        "0\r\n\r\n",
    },
    {
      name: "in one chunk",
      length: chunked,
      bytes: `${bodyBytes.toString(16)}\r\n${job}\r\n0\r\n\r\n`,
    },
    {
      name: "with its length",
      length: `content-length: ${bodyBytes}`,
      bytes: job,
    },
  ];
  for (const { name, length, bytes } of cases) {
    it(name, async () => {
      const deployment = await CrowdDeployment.start("entry");
      const { front, process, limits } = deployment;
      try {
        await waitFor("the process", () => ordinaryRequest.job(front));
        expect(await send(front, length, bytes)).to.equal("HTTP/1.1 200 OK");
        process.measure();
        expect(process.peakMb, "MB").to.be.at.most(limits.memoryMb);
      } finally {
        await deployment.close();
      }
    });
  }
});
