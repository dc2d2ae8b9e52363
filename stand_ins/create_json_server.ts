import { createServer, type IncomingHttpHeaders, type Server } from "node:http";

/** What a handler answers; `hang up` closes the connection instead. */
type Answer = { readonly status: number; readonly body: unknown } | "hang up";
type Handler = (
  method: string,
  url: URL,
  body: unknown,
  headers: IncomingHttpHeaders,
) => Answer | Promise<Answer>;

/** An HTTP server that decodes JSON requests and answers with JSON. */
export function createJsonServer(handle: Handler): Server {
  return createServer(async (request, response) => {
    const chunks: Uint8Array[] = [];
    for await (const chunk of request) chunks.push(chunk as Uint8Array);
    const text = Buffer.concat(chunks).toString();
    const url = new URL(request.url ?? "/", "http://stand-in");
    const body = text === "" ? undefined : JSON.parse(text);
    const answer = await handle(
      request.method ?? "GET",
      url,
      body,
      request.headers,
    );
    if (answer === "hang up") {
      request.socket.destroy();
      return;
    }
    const bytes = Buffer.from(JSON.stringify(answer.body));
    response.writeHead(answer.status, {
      "content-type": "application/json",
      "content-length": bytes.byteLength,
    });
    response.end(bytes);
  });
}
