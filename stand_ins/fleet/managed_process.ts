import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

const readyTimeoutMs = 15_000;

/** A process that a demo or a test started, by its command line. */
export class ManagedProcess {
  readonly lines: string[] = [];
  #child: ChildProcess | undefined;
  #exited: Promise<number | null> = Promise.resolve(null);

  constructor(
    readonly name: string,
    readonly command: string,
    readonly args: readonly string[],
    /** Text that one line of its output shows once it serves. */
    readonly readyMark: string,
  ) {}

  /** The process's id, while it runs. */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  /** Starts the process and waits until it serves. */
  async start(): Promise<void> {
    const child = spawn(this.command, this.args, {
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    this.#exited = new Promise((resolve) => child.once("exit", resolve));
    const ready = new Promise<void>((resolve, reject) => {
      const fail = (why: string): void =>
        reject(
          new Error(`${this.name} ${why}\n${this.lines.slice(-5).join("\n")}`),
        );
      const timer = setTimeout(() => fail("is not ready"), readyTimeoutMs);
      timer.unref();
      child.once("exit", (code) => fail(`exited with ${code}`));
      createInterface({ input: child.stdout }).on("line", (line) => {
        this.lines.push(line);
        if (line.includes(this.readyMark)) resolve();
      });
      createInterface({ input: child.stderr }).on("line", (line) => {
        this.lines.push(line);
      });
    });
    await ready;
  }

  /** Sends a signal. */
  signal(name: NodeJS.Signals): void {
    this.#child?.kill(name);
  }

  /** Waits for the process's end; gives its exit code. */
  async exited(): Promise<number | null> {
    return await this.#exited;
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.exited();
  }
}
