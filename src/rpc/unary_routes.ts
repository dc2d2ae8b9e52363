import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import {
  create,
  type DescMethodUnary,
  type DescService,
  fromBinary,
  type Message,
  toBinary,
} from "@bufbuild/protobuf";
import type { ServiceImpl } from "@connectrpc/connect";
import { GpError } from "../core/errors/gp_error.ts";
import { readBody } from "../http/read_body.ts";
import { sendError } from "../http/send_error.ts";
import { methodPath } from "./method_path.ts";
import { unaryHeaders } from "./unary_headers.ts";

type Handler = (request: Message) => Promise<Message> | Message;

interface Route {
  readonly method: DescMethodUnary;
  readonly handle: Handler;
}

/** The largest request body: 4 MiB. */
const maxBodyBytes = 4_194_304;

/** Serves unary calls of the Connect protocol for the services added. */
export class UnaryRoutes {
  readonly #routes = new Map<string, Route>();

  /** Adds the unary methods of a service that have an implementation. */
  add<S extends DescService>(service: S, impl: Partial<ServiceImpl<S>>): void {
    const handlers = impl as unknown as Readonly<Record<string, Handler>>;
    for (const method of service.methods) {
      const handle = handlers[method.localName];
      if (method.methodKind !== "unary" || handle === undefined) continue;
      const unary = method as DescMethodUnary;
      this.#routes.set(methodPath(method), { method: unary, handle });
    }
  }

  /** Returns a listener that serves the routes and passes on the rest. */
  listener(fallback: RequestListener): RequestListener {
    return (request, response) => {
      const route = this.#routes.get(request.url ?? "");
      const type = request.headers["content-type"];
      const isUnary = type === unaryHeaders["content-type"];
      if (route && isUnary) void serve(route, request, response);
      else fallback(request, response);
    };
  }
}

async function serve(
  { method, handle }: Route,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  try {
    const body = await readBody(request, { maxBytes: maxBodyBytes });
    const reply = await handle(fromBinary(method.input, body));
    const bytes = toBinary(method.output, create(method.output, reply));
    response.writeHead(200, {
      "content-type": unaryHeaders["content-type"],
      "content-length": bytes.byteLength,
    });
    response.end(bytes);
  } catch (cause) {
    sendError(response, GpError.from(cause));
  }
}
