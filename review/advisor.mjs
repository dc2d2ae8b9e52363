// A stand-in of the service that tells which runners may run a step, as
// PROTOCOL.md says: one call at a time for a calling machine, in turn.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const maxWaiting = 32;

export class Advisor {
  /** The instances that the policy allows; undefined for all. */
  allowed;
  onCall = () => {};
  #queues = new Map();
  #server = createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  constructor({ decideMs, perWorkerMs }) {
    this.decideMs = decideMs;
    this.perWorkerMs = perWorkerMs;
  }

  async listen(host, port) {
    await new Promise((done, fail) => {
      this.#server.once("error", fail);
      this.#server.listen(port, host, done);
    });
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const { step, workers } = JSON.parse(Buffer.concat(chunks).toString());
    const machine = request.socket.remoteAddress;
    const queue = this.#queues.get(machine) ?? [];
    this.#queues.set(machine, queue);
    if (queue.length >= maxWaiting) return send(response, 429, {});
    queue.push({ step, workers, response });
    if (queue.length === 1) void this.#work(queue);
  }

  async #work(queue) {
    while (queue.length > 0) {
      const { step, workers, response } = queue[0];
      // A call whose caller has gone is dropped in its turn.
      if (!response.destroyed) {
        await sleep(this.decideMs + this.perWorkerMs * workers.length);
        const good = workers.filter((id) => this.allowed?.has(id) ?? true)
          .map((id) => [id, `t-${step}-${id}`]);
        this.onCall({ step, workers: workers.length, good: good.length });
        send(response, 200, { good });
      }
      queue.shift();
    }
  }
}

function send(response, status, body) {
  if (response.destroyed) return;
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
