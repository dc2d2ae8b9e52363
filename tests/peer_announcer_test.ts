import { expect } from "chai";
import { err } from "true-myth/result";
import { Logger } from "../src/adapters/logger.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import { endedLifeKey } from "../src/cellhost/ended_life_key.ts";
import { PeerAnnouncer } from "../src/nodes/peer_announcer.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";

/** From a runner's end until the exit of a sidecar that is shut down after 1 s. */
const shutDownMs = 2_250;
const row = {
  role: "sidecar",
  host: "h",
  port: 1,
  incarnation: "i",
  strength: 1,
} as const;

// Guards against a sidecar that exits while it waits for a store that is back.
describe("the end of a runner's life", () => {
  for (const hangMs of [0, 500, 1_200, 1_700]) {
    it(`is stored before the sidecar exits, store hung for ${hangMs} ms`, async () => {
      const clock = new VirtualClock();
      const store = new StoreModel();
      const backAtMs = clock.nowMs() + hangMs;
      const append = store.append.bind(store);
      store.append = async (stream, rows, guard, timeoutMs?: number) => {
        if (clock.nowMs() >= backAtMs) return await append(stream, rows, guard);
        await clock.sleep(timeoutMs ?? 0);
        return err({ kind: "unknown", detail: "" });
      };
      const announcer = new PeerAnnouncer(
        store,
        "s" as NodeId,
        row,
        () => true,
        clock,
        new Logger("silent", {}),
      );
      void announcer.announceEnd("r@1" as RunnerLife);
      await clock.advance(shutDownMs);
      announcer.stop();
      const key = endedLifeKey("s" as NodeId);
      const stored = store.newestValue("members", key) ?? "{}";
      expect(JSON.parse(stored)).to.include({ life: "r@1" });
    });
  }
});
