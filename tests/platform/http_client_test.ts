import { type AddressInfo, createServer } from "node:net";
import { expect } from "chai";
import { HttpClient } from "../../platform/http_client.ts";

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
