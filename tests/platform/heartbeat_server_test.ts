import { expect } from "chai";
import { Logger } from "../../src/adapters/logger.ts";
import { HeartbeatServer } from "../../platform/heartbeat_server.ts";
import { allocatePort } from "../../stand_ins/fleet/allocate_port.ts";
import { GateFixture } from "../gate_fixture.ts";

// Guards against an exit that a new sidecar confirms and does not know of.
describe("the announcement of an exit", () => {
  const cases = [
    { name: "is confirmed after a heartbeat", isKnown: true, status: 200 },
    { name: "is to be repeated before any", isKnown: false, status: 503 },
  ];
  for (const { name, isKnown, status } of cases) {
    it(name, async () => {
      const fixture = new GateFixture();
      const address = `127.0.0.1:${await allocatePort()}`;
      const log = new Logger("silent", {});
      const server = new HeartbeatServer(fixture.gate, "127.0.0.1:1", log);
      await server.listen(address);
      if (isKnown) fixture.sendHeartbeat(1, true);
      const { instance } = fixture.runner;
      const answer = await fetch(
        `http://${address}/v1/instances/${instance}/leave`,
        { method: "POST", headers: { connection: "close" }, body: "{}" },
      );
      server.close();
      expect(answer.status).to.equal(status);
      expect(fixture.gate.isDraining).to.equal(isKnown);
    });
  }
});
