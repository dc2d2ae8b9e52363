import { callersHost } from "../soak/callers_host.ts";
import type { CrowdPlan } from "./crowd_plan.ts";

const bodyBytes = 262_000;
const idDigits = 16;

/** Bodies of which all but the end is sent. */
export const unfinishedBody = {
  byteChunks: (clients: number, path: string): CrowdPlan =>
    newPlan(clients, path, chunked, Buffer.from(chunk(1).repeat(131_072))),
  unasked: (clients: number, path: string): CrowdPlan =>
    newPlan(
      clients,
      path,
      `${chunked}\r\ndeadline-ms: 60000`,
      Buffer.from(chunk(1).repeat(131_072)),
      "GET",
    ),
  largeChunks: (clients: number, path: string): CrowdPlan =>
    newPlan(
      clients,
      path,
      chunked,
      Buffer.from(chunk(bodyBytes / 4).repeat(4)),
    ),
  withLength: (clients: number, path: string): CrowdPlan =>
    newPlan(
      clients,
      path,
      `content-length: ${bodyBytes}`,
      Buffer.alloc(bodyBytes - 1, " "),
    ),
};

const chunked = "transfer-encoding: chunked";

function newPlan(
  clients: number,
  path: string,
  length: string,
  bytes: Buffer,
  method = "POST",
): CrowdPlan {
  return {
    clients,
    parts: (client) => {
      const id = client.toString(16).padStart(idDigits, "0");
      const target = path.replace("ID", id);
      return [
        `${method} ${target} HTTP/1.1\r\nhost: ${callersHost}\r\n${length}\r\n\r\n`,
        bytes,
      ];
    },
  };
}

function chunk(bytes: number): string {
  return `${bytes.toString(16)}\r\n${" ".repeat(bytes)}\r\n`;
}
