import { expect } from "chai";
import { HeartbeatServer } from "../platform/heartbeat_server.ts";
import { Logger } from "../src/adapters/logger.ts";
import { allocatePort } from "../stand_ins/fleet/allocate_port.ts";
import { GateFixture } from "./gate_fixture.ts";

const log = new Logger("silent", {});

// Guards against a life that counts as ended as the one before has left.
describe("a leave notice", () => {
  const cases = [
    { name: "of the known life counts", agoMs: 0, isLeaving: true },
    { name: "of an earlier life does not", agoMs: 1_000, isLeaving: false },
    { name: "that names no life counts", agoMs: undefined, isLeaving: true },
  ];
  for (const { name, agoMs, isLeaving } of cases) {
    it(name, async () => {
      const fixture = new GateFixture();
      await fixture.start();
      const { instance, bornMs } = fixture.runner;
      const server = new HeartbeatServer(fixture.gate, "", log);
      const address = `127.0.0.1:${await allocatePort()}`;
      await server.listen(address);
      const path = `/v1/instances/${instance}/leave`;
      const born = agoMs === undefined ? undefined : bornMs - agoMs;
      const response = await fetch(`http://${address}${path}`, {
        method: "POST",
        body: JSON.stringify({ born }),
      });
      expect(response.status).to.equal(200);
      expect(fixture.gate.isDraining).to.equal(isLeaving);
      fixture.gate.stop();
      server.close();
    });
  }

  it("without a body counts", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    const server = new HeartbeatServer(fixture.gate, "", log);
    const address = `127.0.0.1:${await allocatePort()}`;
    await server.listen(address);
    const path = `/v1/instances/${fixture.runner.instance}/leave`;
    const response = await fetch(`http://${address}${path}`, {
      method: "POST",
    });
    expect(response.status).to.equal(200);
    expect(fixture.gate.isDraining).to.equal(true);
    fixture.gate.stop();
    server.close();
  });
});
