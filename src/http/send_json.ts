import type { ServerResponse } from "node:http";

/** Sends a complete JSON answer. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const bytes = Buffer.from(JSON.stringify(body));
  response.writeHead(status, {
    ...headers,
    "content-type": "application/json",
    "content-length": bytes.byteLength,
  });
  response.end(bytes);
}
