import type { IncomingMessage } from "node:http";
import type { ConfigState } from "../core/config/config_state.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { MemberId } from "../schema/member_id.ts";

/** Returns the configured member that the `x-member` header names. */
export function readMember(
  config: ConfigState,
  request: IncomingMessage,
): MemberId {
  const name = request.headers["x-member"];
  if (typeof name !== "string") {
    throw new GpError("bad_request", "the x-member header is missing");
  }
  const member = config.find("member", name);
  if (member === undefined) throw new GpError("unknown_member", name);
  return member.name;
}
