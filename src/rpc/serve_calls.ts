import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { GpError } from "../core/errors/gp_error.ts";
import { readBody } from "../http/read_body.ts";
import { sendError } from "../http/send_error.ts";
import { callPath } from "./call_path.ts";
import {
  type CallReply,
  CallReplySchema,
  type CallRequest,
  CallRequestSchema,
} from "./gen/gypsumpond/v1/runner_pb.ts";

const largestBytes = 1_048_576;

/** Answers unary calls itself and leaves all else to the general handler. */
export function serveCalls(
  run: (request: CallRequest) => Promise<CallReply>,
  otherwise: RequestListener,
): RequestListener {
  return (request, response) => {
    const isCall = request.url === callPath &&
      request.headers["content-type"] === "application/proto";
    if (isCall) void serve(run, request, response);
    else otherwise(request, response);
  };
}

async function serve(
  run: (request: CallRequest) => Promise<CallReply>,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  try {
    const body = await readBody(request, largestBytes);
    const reply = await run(fromBinary(CallRequestSchema, body));
    const bytes = toBinary(CallReplySchema, reply);
    response.writeHead(200, {
      "content-type": "application/proto",
      "content-length": bytes.byteLength,
    });
    response.end(bytes);
  } catch (cause) {
    sendError(response, GpError.from(cause));
  }
}
