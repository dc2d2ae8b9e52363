import { expect } from "chai";
import type { ConfigItem } from "../src/core/config/config_item.ts";
import type { ConfigRecord } from "../src/core/config/config_record.ts";
import { GpError } from "../src/core/errors/gp_error.ts";
import type { Log } from "../src/core/log/log.ts";
import type { LogPage } from "../src/core/log/log_page.ts";
import { ConfigStore } from "../src/peer/config_store.ts";
import type { MemberId } from "../src/schema/member_id.ts";
import { LogModel } from "../stand_ins/log/log_model.ts";

/** A log in memory whose reads fail during an outage. */
class FakeLog implements Log {
  readonly model = new LogModel();

  append(stream: string, records: readonly unknown[]): Promise<number> {
    return Promise.resolve(this.model.append(stream, records, 0));
  }

  read(stream: string, from: number, max: number): Promise<LogPage> {
    if (this.model.isDown) throw new GpError("log_unavailable");
    return Promise.resolve(this.model.read(stream, from, max, 0));
  }
}

const memberItem = (quotaShare: number): ConfigItem => ({
  kind: "member",
  value: { name: "a" as MemberId, quotaShare },
});

const change = (basedOn: number, quotaShare: number): ConfigRecord => ({
  kind: "published",
  id: "x",
  by: "ada",
  atMs: 0,
  basedOn,
  puts: [memberItem(quotaShare)],
  removes: [],
});

function storedQuota(store: ConfigStore): number | undefined {
  return store.state.find("member", "a")?.quotaShare;
}

describe("the configuration store", () => {
  it("follows the log, and keeps its state during an outage", async () => {
    const log = new FakeLog();
    const store = new ConfigStore();
    await log.append("config", [change(-1, 0.1), change(0, 0.2)]);
    expect(await store.readLog(log)).to.equal(true);
    log.model.isDown = true;
    expect(await store.readLog(log)).to.equal(false);
    expect([store.state.revision, storedQuota(store)]).to.eql([1, 0.2]);
  });

  it("skips malformed records", async () => {
    const log = new FakeLog();
    const store = new ConfigStore();
    await log.append("config", [{ kind: "published" }, 7, change(-1, 0.3)]);
    await store.readLog(log);
    expect([store.state.revision, storedQuota(store)]).to.eql([2, 0.3]);
  });

  it("waits for a restatement after records were dropped", async () => {
    const log = new FakeLog();
    const early = new ConfigStore();
    await log.append("config", [change(-1, 0.1)]);
    await early.readLog(log);
    log.model.retentionRecords = 1;
    await log.append("config", [change(0, 0.2)]);
    const late = new ConfigStore();
    await late.readLog(log);
    expect(late.state.revision, "incomplete history").to.equal(-1);
    await early.readLog(log);
    await early.restate(log, "entry-1");
    await late.readLog(log);
    expect([late.state.revision, storedQuota(late)]).to.eql([1, 0.2]);
  });

  it("installs a peer's configuration and reads on from there", async () => {
    const log = new FakeLog();
    const early = new ConfigStore();
    await log.append("config", [change(-1, 0.1), change(0, 0.2)]);
    await early.readLog(log);
    log.model.retentionRecords = 1;
    await log.append("config", [change(1, 0.3)]);
    const late = new ConfigStore();
    await late.readLog(log);
    expect(late.state.revision, "incomplete history").to.equal(-1);
    expect(late.install(early.image())).to.equal(true);
    expect(late.install(early.image())).to.equal(false);
    await late.readLog(log);
    expect([late.state.revision, storedQuota(late)]).to.eql([2, 0.3]);
  });

  it("applies no records past a gap after a peer's configuration", async () => {
    const log = new FakeLog();
    const early = new ConfigStore();
    await log.append("config", [change(-1, 0.1)]);
    await early.readLog(log);
    log.model.retentionRecords = 1;
    await log.append("config", [change(0, 0.2), change(1, 0.3)]);
    const late = new ConfigStore();
    late.install(early.image());
    await late.readLog(log);
    expect([late.state.revision, storedQuota(late)]).to.eql([0, 0.1]);
  });
});
