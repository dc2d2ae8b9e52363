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

type Run = (request: Message) => Promise<Message> | Message;

interface Route {
  readonly method: DescMethodUnary;
  readonly run: Run;
}

const largestBytes = 4_194_304;

/** Answers Connect's unary calls itself and leaves all else to another. */
export class UnaryRoutes {
  readonly #routes = new Map<string, Route>();

  /** Adds the unary methods of a service. */
  add<S extends DescService>(service: S, impl: Partial<ServiceImpl<S>>): void {
    const runs = impl as unknown as Readonly<Record<string, Run>>;
    for (const method of service.methods) {
      const run = runs[method.localName];
      if (method.methodKind !== "unary" || run === undefined) continue;
      const unary = method as DescMethodUnary;
      this.#routes.set(methodPath(method), { method: unary, run });
    }
  }

  /** Serves the routes; other requests go to the other listener. */
  listener(otherwise: RequestListener): RequestListener {
    return (request, response) => {
      const route = this.#routes.get(request.url ?? "");
      const type = request.headers["content-type"];
      const isUnary = type === unaryHeaders["content-type"];
      if (route && isUnary) void serve(route, request, response);
      else otherwise(request, response);
    };
  }
}

async function serve(
  { method, run }: Route,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  try {
    const body = await readBody(request, largestBytes);
    const reply = await run(fromBinary(method.input, body));
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
