import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

const readyTimeoutMs = 15_000;

/** A child process of a demo, benchmark or test; can be started again. */
export class ManagedProcess {
  /** Lines of standard output and standard error so far. */
  readonly outputLines: string[] = [];
  #child: ChildProcess | undefined;
  #exitCode: Promise<number | null> = Promise.resolve(null);

  constructor(
    readonly name: string,
    readonly command: string,
    readonly args: readonly string[],
    /** Text in a line of its standard output that says it is ready. */
    readonly readyText: string,
  ) {}

  /** The process id of the last start. */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  /** Starts the process and waits until it is ready. */
  async start(): Promise<void> {
    const child = spawn(this.command, this.args, {
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    this.#exitCode = new Promise((resolve) => child.once("exit", resolve));
    const ready = new Promise<void>((resolve, reject) => {
      const fail = (problem: string): void =>
        reject(
          new Error(
            `${this.name} ${problem}\n${this.outputLines.slice(-5).join("\n")}`,
          ),
        );
      const timer = setTimeout(
        () => fail("was not ready in time"),
        readyTimeoutMs,
      );
      timer.unref();
      child.once("exit", (code) => fail(`exited with ${code}`));
      createInterface({ input: child.stdout }).on("line", (line) => {
        this.outputLines.push(line);
        if (line.includes(this.readyText)) resolve();
      });
      createInterface({ input: child.stderr }).on("line", (line) => {
        this.outputLines.push(line);
      });
    });
    await ready;
  }

  /** Sends a signal. */
  signal(name: NodeJS.Signals): void {
    this.#child?.kill(name);
  }

  /** Waits until the process exits; returns its code, null after a signal. */
  async waitForExit(): Promise<number | null> {
    return await this.#exitCode;
  }

  /** Kills the process with SIGKILL and waits until it has exited. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.waitForExit();
  }
}
