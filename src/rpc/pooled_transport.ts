import {
  create,
  type DescMessage,
  type DescMethodStreaming,
  type DescMethodUnary,
  fromBinary,
  type MessageInitShape,
  toBinary,
} from "@bufbuild/protobuf";
import type {
  ContextValues,
  StreamResponse,
  Transport,
  UnaryResponse,
} from "@connectrpc/connect";
import type { HttpPools } from "../adapters/http_pools.ts";
import { withTimeout } from "../adapters/with_timeout.ts";
import type { Endpoint } from "../schema/endpoint.ts";
import { methodPath } from "./method_path.ts";
import { unaryHeaders } from "./unary_headers.ts";

const okStatus = 200;
const defaultTimeoutMs = 5_000;

/**
 * A transport that sends unary calls of the Connect protocol over pooled
 * connections, which costs less for each call than the library's transport.
 * Streaming calls go through the library's transport.
 */
export class PooledTransport implements Transport {
  constructor(
    readonly pools: HttpPools,
    readonly endpoint: Endpoint,
    readonly streamTransport: Transport,
  ) {}

  async unary<I extends DescMessage, O extends DescMessage>(
    method: DescMethodUnary<I, O>,
    _signal: AbortSignal | undefined,
    timeoutMs: number | undefined,
    _header: Parameters<Transport["unary"]>[3],
    input: MessageInitShape<I>,
  ): Promise<UnaryResponse<I, O>> {
    const body = toBinary(method.input, create(method.input, input));
    const bytes = await withTimeout(
      timeoutMs ?? defaultTimeoutMs,
      (signal) => this.#send(methodPath(method), body, signal),
    );
    return {
      stream: false,
      service: method.parent,
      method,
      header: noHeaders,
      trailer: noHeaders,
      message: fromBinary(method.output, bytes),
    };
  }

  stream<I extends DescMessage, O extends DescMessage>(
    method: DescMethodStreaming<I, O>,
    signal: AbortSignal | undefined,
    timeoutMs: number | undefined,
    header: Parameters<Transport["unary"]>[3],
    input: AsyncIterable<MessageInitShape<I>>,
    contextValues?: ContextValues,
  ): Promise<StreamResponse<I, O>> {
    return this.streamTransport.stream(
      method,
      signal,
      timeoutMs,
      header,
      input,
      contextValues,
    );
  }

  async #send(
    path: string,
    body: Uint8Array,
    signal: AbortSignal,
  ): Promise<Uint8Array> {
    const response = await this.pools.send(this.endpoint, {
      method: "POST",
      path,
      headers: unaryHeaders,
      body,
      signal,
    });
    const bytes = new Uint8Array(await response.body.arrayBuffer());
    if (response.statusCode === okStatus) return bytes;
    throw new Error(`${path} status ${response.statusCode}`);
  }
}

const noHeaders = new Headers();
