import type { Socket } from "node:net";
import { ByteBuffer } from "../http/byte_buffer.ts";

/** An empty line is sent after this long without a message. */
const pingIntervalMs = 300;
/** A peer that sends nothing for this long is frozen or disconnected. */
const silenceTimeoutMs = 1_500;
/**
 * A peer that reads too slowly is disconnected at this backlog of earlier
 * messages; a single message may be longer.
 */
const maxUnsentBytes = 4_000_000;
/** A longer line is not one of the system's messages. */
const defaultMaxLineBytes = 16_000_000;
/** How long a closed socket may take to send what is buffered. */
const closeTimeoutMs = 200;
const newlineByte = 10;

/**
 * A connection that carries messages both ways, each a line of JSON. It closes
 * when its peer falls silent, since a peer may vanish without a reset, and at
 * anything that is not a message.
 */
export class Channel<Out, In> {
  onMessage: (message: In) => void = () => {};
  onClose: (reason: string) => void = () => {};
  /** Called when the peer has sent more of a line that has not ended. */
  onPartialLine: () => void = () => {};
  maxLineBytes = defaultMaxLineBytes;
  /** When the peer last sent anything. */
  receivedAtMs = performance.now();
  #isOpen = true;
  #sentAtMs = 0;
  readonly #partialLine = new ByteBuffer();
  readonly #timer: NodeJS.Timeout;

  constructor(
    readonly socket: Socket,
    readonly isMessage: (value: unknown) => value is In,
  ) {
    socket.setNoDelay(true);
    socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    socket.on("error", (cause) => this.close(cause.message));
    socket.on("close", () => this.close("closed by peer"));
    this.#timer = setInterval(() => this.#checkPeer(), pingIntervalMs);
  }

  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** The memory that a line takes which has not ended. */
  get partialBytes(): number {
    return this.#partialLine.capacityBytes;
  }

  /** Sends a message, if the channel is still open. */
  send(message: Out): void {
    if (!this.#isOpen) return;
    if (this.socket.writableLength > maxUnsentBytes) {
      this.close("too slow");
      return;
    }
    this.#sentAtMs = performance.now();
    this.socket.write(`${JSON.stringify(message)}\n`);
  }

  /** Closes the connection; `onClose` is called only the first time. */
  close(reason: string): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    clearInterval(this.#timer);
    this.#partialLine.take();
    // Buffered messages still go out, unless the peer does not read them.
    this.socket.end();
    setTimeout(() => this.socket.destroy(), closeTimeoutMs).unref();
    this.onClose(reason);
  }

  #checkPeer(): void {
    const nowMs = performance.now();
    if (this.#isSilentAt(nowMs)) this.close("silent");
    else if (nowMs - this.#sentAtMs >= pingIntervalMs) {
      this.#sentAtMs = nowMs;
      this.socket.write("\n");
    }
  }

  #isSilentAt(nowMs: number): boolean {
    return nowMs - this.receivedAtMs > silenceTimeoutMs;
  }

  #receive(chunk: Buffer): void {
    const nowMs = performance.now();
    // What waited here while this process was paused may be out of date.
    if (this.#isSilentAt(nowMs)) {
      this.close("silent");
      return;
    }
    this.receivedAtMs = nowMs;
    let from = 0;
    while (this.#isOpen) {
      const at = chunk.indexOf(newlineByte, from);
      if (at < 0) break;
      const end = chunk.subarray(from, at);
      const line = this.#takeLine(end).toString("utf8");
      from = at + 1;
      if (line !== "") this.#deliver(line);
    }
    if (from === chunk.length || !this.#isOpen) return;
    const addedBytes = chunk.length - from;
    if (this.#partialLine.length + addedBytes > this.maxLineBytes) {
      this.close("message too long");
      return;
    }
    this.#partialLine.append(chunk.subarray(from));
    this.onPartialLine();
  }

  /** Returns the line of which this is the end. */
  #takeLine(end: Buffer): Buffer {
    if (this.#partialLine.length === 0) return end;
    this.#partialLine.append(end);
    return this.#partialLine.take();
  }

  #deliver(line: string): void {
    const message = parse(line);
    if (!this.isMessage(message)) {
      this.close("malformed message");
      return;
    }
    try {
      this.onMessage(message);
    } catch (cause) {
      // The peer connects again and sends its state anew.
      this.close(`message failed: ${(cause as Error).message}`);
    }
  }
}

/** Parses a line; undefined, which is no message, if it is not JSON. */
function parse(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}
