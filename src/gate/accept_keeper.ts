import type { Logger } from "../adapters/logger.ts";
import type { KeeperMessage } from "../link/keeper_message.ts";
import type { PeerMessage } from "../link/peer_message.ts";
import type { Gate } from "./gate.ts";

/** A keeper's connection, as its sidecar sees it. */
interface KeeperChannel {
  onMessage: (message: KeeperMessage) => void;
  onClose: (reason: string) => void;
  send(message: PeerMessage): void;
  close(reason: string): void;
}

/**
 * Connects a keeper that has sent its hello to the gate, unless a newer keeper
 * is known; an older one is told so and disconnected.
 */
export function acceptKeeper(
  gate: Gate,
  channel: KeeperChannel,
  { epoch, keeper }: Extract<KeeperMessage, { kind: "hello" }>,
  log: Logger,
): void {
  const rejectSuperseded = () => {
    channel.send({ kind: "superseded", epoch: gate.epoch });
    channel.close("superseded by a newer keeper");
  };
  const send = (message: PeerMessage) => channel.send(message);
  if (!gate.attachKeeper(epoch, send)) {
    rejectSuperseded();
    return;
  }
  log.info("keeper_heard", { epoch, keeper });
  channel.onMessage = (message) => {
    if (gate.keeper.isAttached(send)) gate.handleMessage(message);
    else if (epoch < gate.epoch) rejectSuperseded();
    else channel.close("replaced by a newer connection");
  };
  channel.onClose = (reason) => {
    log.info("keeper_gone", { epoch, keeper, reason });
    gate.detachKeeper(send);
  };
}
