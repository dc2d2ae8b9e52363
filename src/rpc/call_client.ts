import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { HttpPools } from "../adapters/http_pools.ts";
import { withTimeout } from "../adapters/with_timeout.ts";
import type { Endpoint } from "../schema/endpoint.ts";
import { callPath } from "./call_path.ts";
import {
  type CallReply,
  CallReplySchema,
  type CallRequest,
  CallRequestSchema,
} from "./gen/gypsumpond/v1/runner_pb.ts";

const headers = {
  "content-type": "application/proto",
  "connect-protocol-version": "1",
};
const okStatus = 200;

/**
 * Sends checks and orders to sidecars: Connect's unary protocol over pooled
 * connections, without the general client's cost for each call.
 */
export class CallClient {
  constructor(readonly pools: HttpPools) {}

  /** Sends one call and reads its reply; throws where there is none. */
  async call(
    endpoint: Endpoint,
    request: Omit<CallRequest, "$typeName" | "$unknown">,
    timeoutMs: number,
  ): Promise<CallReply> {
    const body = toBinary(
      CallRequestSchema,
      create(CallRequestSchema, request),
    );
    return await withTimeout(timeoutMs, async (signal) => {
      const answer = await this.pools.send(endpoint, {
        method: "POST",
        path: callPath,
        headers,
        body,
        signal,
      });
      const bytes = new Uint8Array(await answer.body.arrayBuffer());
      if (answer.statusCode !== okStatus) {
        throw new Error(`sidecar status ${answer.statusCode}`);
      }
      return fromBinary(CallReplySchema, bytes);
    });
  }
}
