import { createServer } from "node:net";

/** The range lies below the ports that systems use for outgoing connections. */
const lowestPort = 10_000;
const portCount = 20_000;
/** Distance between the first ports of two processes with successive ids. */
const portsPerProcess = 37;
const maxTries = 200;

let nextOffset = process.pid * portsPerProcess;

/** Returns a loopback port that nothing listens on, each time another one. */
export async function allocatePort(): Promise<number> {
  for (let attempt = 0; attempt < maxTries; attempt++) {
    const port = lowestPort + nextOffset++ % portCount;
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
