import type { MemberMessage } from "../link/member_message.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import type { Store } from "../core/store/store.ts";
import { systemClock } from "../adapters/system_clock.ts";
import type { Logger } from "../adapters/logger.ts";
import { Gate } from "../gate/gate.ts";
import type { RunnerClient } from "../gate/runner_client.ts";
import { announceMember } from "./announce_member.ts";
import { MemberServer } from "./member_server.ts";
import type { NodeOptions } from "./node_options.ts";

/** The process beside a runner. */
export class SidecarNode {
  readonly gate: Gate;
  readonly #server: MemberServer;

  constructor(
    readonly options: NodeOptions,
    readonly store: Store,
    runner: RunnerClient,
    readonly log: Logger,
  ) {
    this.gate = new Gate(
      runner,
      options.bounds.maxHoldMs,
      systemClock,
      log,
    );
    this.#server = new MemberServer((channel, { epoch, keeper }) => {
      const send = (message: MemberMessage) => channel.send(message);
      const isTaken = this.gate.attach(epoch, send);
      if (!isTaken) {
        channel.send({ kind: "superseded", epoch: this.gate.epoch });
        channel.close("a newer keeper was heard");
        return;
      }
      log.info("keeper_heard", { epoch, keeper });
      channel.onMessage = (message) => {
        if (epoch === this.gate.epoch) this.gate.take(message);
        else {
          channel.send({ kind: "superseded", epoch: this.gate.epoch });
          channel.close("a newer keeper was heard");
        }
      };
      channel.onClose = (reason) => {
        log.info("keeper_gone", { epoch, keeper, reason });
        this.gate.detach(send);
      };
    });
  }

  /** Starts to serve. */
  async start(): Promise<void> {
    const { node, host, memberPort, incarnation, strength } = this.options;
    await this.#server.listen(host, memberPort);
    const row = {
      role: "sidecar",
      host,
      port: memberPort,
      incarnation,
      strength,
    } as const;
    void announceMember(this.store, node as NodeId, row, this.log);
    void this.gate.run();
  }

  /** Stops serving; the runner's lease runs on until a new process holds it. */
  close(): void {
    this.gate.stop();
    this.#server.close();
  }
}
