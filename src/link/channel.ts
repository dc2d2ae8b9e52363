import type { Socket } from "node:net";

const pingEveryMs = 300;
/** A peer that is silent for so long counts as gone; frozen or cut off. */
const silenceMs = 1_500;
/** A peer that leaves so much unread is cut off. */
const mostUnreadBytes = 4_000_000;
const lingerMs = 200;
const newline = 10;

/**
 * Messages both ways over one connection, each a line of JSON. Closes when its
 * peer falls silent, since a connection may do so without a reset.
 */
export class Channel<Out, In> {
  onMessage: (message: In) => void = () => {};
  onClose: (reason: string) => void = () => {};
  /** When the peer was last heard. */
  heardAtMs = performance.now();
  #isOpen = true;
  #sentAtMs = 0;
  #rest: Buffer[] = [];
  readonly #timer: NodeJS.Timeout;

  constructor(readonly socket: Socket) {
    socket.setNoDelay(true);
    socket.on("data", (chunk: Buffer) => this.#take(chunk));
    socket.on("error", (cause) => this.close(cause.message));
    socket.on("close", () => this.close("closed by peer"));
    this.#timer = setInterval(() => this.#watch(), pingEveryMs);
  }

  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Sends a message, if the channel is still open. */
  send(message: Out): void {
    if (!this.#isOpen) return;
    this.#sentAtMs = performance.now();
    this.socket.write(`${JSON.stringify(message)}\n`);
    if (this.socket.writableLength > mostUnreadBytes) this.close("unread");
  }

  /** Closes the connection; tells it once. */
  close(reason: string): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    clearInterval(this.#timer);
    // What was sent last still goes out, unless the peer takes nothing.
    this.socket.end();
    setTimeout(() => this.socket.destroy(), lingerMs).unref();
    this.onClose(reason);
  }

  #watch(): void {
    const nowMs = performance.now();
    if (nowMs - this.heardAtMs > silenceMs) this.close("silent");
    else if (nowMs - this.#sentAtMs >= pingEveryMs) {
      this.#sentAtMs = nowMs;
      this.socket.write("\n");
    }
  }

  #take(chunk: Buffer): void {
    this.heardAtMs = performance.now();
    let from = 0;
    while (this.#isOpen) {
      const at = chunk.indexOf(newline, from);
      if (at < 0) break;
      this.#rest.push(chunk.subarray(from, at));
      const line = this.#rest.length === 1
        ? this.#rest[0]!.toString("utf8")
        : Buffer.concat(this.#rest).toString("utf8");
      this.#rest = [];
      from = at + 1;
      if (line !== "") this.#deliver(line);
    }
    if (from < chunk.length) this.#rest.push(chunk.subarray(from));
  }

  #deliver(line: string): void {
    let message: In;
    try {
      message = JSON.parse(line) as In;
    } catch {
      this.close("unreadable message");
      return;
    }
    this.onMessage(message);
  }
}
