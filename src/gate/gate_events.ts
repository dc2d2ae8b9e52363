import type { MemberMessage } from "../link/member_message.ts";

/** How a gate reaches its keeper. */
export interface GateEvents {
  send(message: MemberMessage): void;
}
