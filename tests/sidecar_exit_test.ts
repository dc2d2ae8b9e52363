import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { Logger } from "../src/adapters/logger.ts";
import { endedLifeKey } from "../src/cellhost/ended_life_key.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import { lifeOf } from "../src/gate/life_of.ts";
import type { RunnerClient } from "../src/gate/runner_client.ts";
import type { RunnerHeartbeat } from "../src/gate/runner_heartbeat.ts";
import { SidecarNode } from "../src/nodes/sidecar_node.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";

const log = new Logger("silent", {});
const node = "w" as NodeId;

/** A runner that answers polls until it exits. */
class EndingRunner implements RunnerClient {
  hasExited = false;

  constructor(public bornMs: number) {}

  async hold() {
    await sleep(10);
    if (this.hasExited) {
      return { isOk: false, failure: "refused", clockMs: undefined } as const;
    }
    const { bornMs } = this;
    const value = {
      bornMs,
      clockMs: 1,
      running: [],
      ends: [],
      hasAllEnds: true,
    };
    return { isOk: true, value, clockMs: 1 } as const;
  }

  readonly start = () => this.#fail();
  readonly stop = () => this.#fail();
  readonly pace = () => this.#fail();

  #fail() {
    const failure = { isOk: false, failure: "refused", clockMs: 0 } as const;
    return Promise.resolve(failure);
  }
}

function heartbeatOf(bornMs: number, isDraining: boolean): RunnerHeartbeat {
  return {
    instance: "i",
    bornMs,
    pool: "pool",
    zone: "z",
    rack: "r",
    labels: [],
    capacity: { cpuMilli: 1, memoryBytes: 1, accelerators: 0 },
    isDraining,
    sequence: 1,
  };
}

// Guards against a sidecar that exits with the end of its runner's second life.
describe("a sidecar that is told to exit", () => {
  it("waits for the end of the life that is ending, not an earlier one", async () => {
    const store = new StoreModel();
    const runner = new EndingRunner(1);
    const options = {
      node,
      incarnation: "1",
      host: "127.0.0.1",
      peerPort: 0,
      bounds: { maxHoldMs: 6_000 },
      hardLoad: {},
      strength: 1,
      submissionStreams: 1,
      storeLimits: store.limits,
    } as unknown as SidecarNode["options"];
    const sidecar = new SidecarNode(options, store, runner, log);
    await sidecar.start();
    sidecar.gate.attachKeeper(1, () => {});
    for (const bornMs of [1, 2]) {
      runner.bornMs = bornMs;
      runner.hasExited = false;
      sidecar.gate.handleHeartbeat(heartbeatOf(bornMs, true));
      await sleep(150);
      store.isDown = bornMs === 2;
      sidecar.gate.handleLeave("i");
      runner.hasExited = true;
      await sleep(300);
    }
    const done = sidecar.awaitRunnerEnd(3_000);
    const isEarly = await Promise.race([done.then(() => true), sleep(200)]);
    expect(isEarly).to.equal(undefined);
    store.isDown = false;
    await done;
    const [before, life] = [1, 2].map((bornMs) =>
      lifeOf({ instance: "i", bornMs })
    );
    const stored = store.newestValue("members", endedLifeKey(node));
    expect(stored).to.equal(
      JSON.stringify({ life, before: [before], isSettled: true }),
    );
    sidecar.close();
  });
});
