import { createServer } from "node:net";

/** Below the range from which systems take ports for outgoing connections. */
const lowestPort = 10_000;
const ports = 20_000;
const portsPerProcess = 37;
const mostTries = 200;

let next = process.pid * portsPerProcess;

/** A port on loopback that nothing listens on; given to one caller only. */
export async function freePort(): Promise<number> {
  for (let attempt = 0; attempt < mostTries; attempt++) {
    const port = lowestPort + next++ % ports;
    if (await isFree(port)) return port;
  }
  throw new Error("no free port");
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => {
      server.close(() => resolve(true));
    });
  });
}
