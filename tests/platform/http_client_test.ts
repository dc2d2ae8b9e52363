import { type AddressInfo, createServer } from "node:net";
import { expect } from "chai";
import type { Dispatcher, Pool } from "undici";
import { HttpClient } from "../../src/adapters/http_client.ts";

describe("a call without an answer", () => {
  const cases = [
    { name: "broke off if the server ends the connection", isEnded: true },
    { name: "did not break off if it ran into its time limit", isEnded: false },
  ];
  for (const { name, isEnded } of cases) {
    it(name, async () => {
      const server = createServer((socket) => {
        socket.on("error", () => {});
        socket.on("data", () => {
          if (isEnded) socket.destroy();
        });
      });
      await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
      const { port } = server.address() as AddressInfo;
      const client = new HttpClient(`127.0.0.1:${port}`);
      const outcome = await client.call("POST", "/", "{}", {}, 200);
      expect(outcome).to.include({ kind: "unknown", isBroken: isEnded });
      server.close();
    });
  }
});

describe("a call that gets no connection", () => {
  /** A pool that opens no connection before `connect` is called. */
  class UnconnectedPool {
    handler: Dispatcher.DispatchHandler | undefined;
    abortReason: Error | undefined;

    dispatch(_options: unknown, handler: Dispatcher.DispatchHandler): boolean {
      this.handler = handler;
      return true;
    }

    connect(): void {
      this.handler?.onConnect?.((reason) => {
        this.abortReason = reason;
      });
    }

    async close(): Promise<void> {}
  }

  // A call of 300 ms to a machine that is cut off took up to 1.5 s.
  it("is refused at its time limit, and is not sent later", async () => {
    const pool = new UnconnectedPool();
    const client = new HttpClient("", () => pool as unknown as Pool);
    const outcome = await client.call("POST", "/", "{}", {}, 20);
    expect(outcome).to.include({ kind: "refused" });
    pool.connect();
    expect(pool.abortReason).to.have.property("name", "TimeoutError");
  });

  it("has an unknown outcome if it had got one", async () => {
    const pool = new UnconnectedPool();
    const client = new HttpClient("", () => pool as unknown as Pool);
    const call = client.call("POST", "/", "{}", {}, 20);
    pool.connect();
    expect(await call).to.include({ kind: "unknown", isBroken: false });
  });
});
