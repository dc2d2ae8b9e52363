import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { RunnerHttpClient } from "../../platform/runner_http_client.ts";
import { RunnerHealth } from "../../src/gate/runner_health.ts";

/** Longer than the time limit of a poll that does not wait. */
const blockMs = 600;

/** Blocks this process, as a machine does that is suspended or overloaded. */
function block(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, blockMs);
}

// Guards against claims that are released as a slow sidecar got no connection.
describe("a runner counts as gone", () => {
  const cases = [
    { name: "if nothing listens", isListening: false, isGone: true },
    { name: "not if the poll was delayed", isListening: true, isGone: false },
  ];
  for (const { name, isListening, isGone } of cases) {
    it(name, async () => {
      const server = createServer((_request, response) => response.end("{}"));
      await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
      const { port } = server.address() as AddressInfo;
      if (!isListening) await new Promise((done) => server.close(done));
      const client = new RunnerHttpClient(`127.0.0.1:${port}`);
      const poll = client.hold({
        instance: "i",
        epoch: 1,
        forgetUpTo: 0,
        leaseEndClockMs: undefined,
        waitMs: 0,
      });
      if (isListening) block();
      const answer = await poll;
      const health = new RunnerHealth();
      if (!answer.isOk) health.recordFailure(answer.failure);
      expect(health.isGone).to.equal(isGone);
      server.closeAllConnections();
      server.close();
    });
  }
});
