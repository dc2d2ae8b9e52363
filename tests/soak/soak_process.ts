import { type ChildProcess, spawn } from "node:child_process";
import { currentProgram } from "./current_program.ts";
import { createWriteStream, writeFileSync } from "node:fs";

const restartDelayMs = 500;

/** One process of the system, restarted whenever it exits. */
export class SoakProcess {
  /** What the next start runs. */
  program = currentProgram;
  /** How often it has ended without a signal from here. */
  ownEnds = 0;
  #child: ChildProcess | undefined;
  #isClosed = false;
  #isSignalled = false;

  constructor(
    readonly name: string,
    readonly role: "entry" | "sidecar",
    readonly settings: Readonly<Record<string, string | number>>,
    /** The path of its settings and its log, without the suffix. */
    readonly basePath: string,
  ) {}

  start(): void {
    if (this.#isClosed) return;
    const path = `${this.basePath}.conf`;
    const lines = Object.entries(this.settings).map(([k, v]) => `${k}=${v}`);
    writeFileSync(path, lines.join("\n"));
    const child = spawn(process.execPath, [this.program, this.role], {
      env: { PATH: process.env.PATH, GYPSUMPOND_BOOT: path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    const logFile = createWriteStream(`${this.basePath}.log`, { flags: "a" });
    child.stdout?.pipe(logFile);
    child.stderr?.pipe(logFile, { end: false });
    child.once("exit", () => {
      if (!this.#isSignalled && !this.#isClosed) this.ownEnds += 1;
      this.#isSignalled = false;
      setTimeout(() => this.start(), restartDelayMs);
    });
  }

  signal(name: NodeJS.Signals): void {
    this.#isSignalled = true;
    this.#child?.kill(name);
  }

  /** Kills the process and does not restart it. */
  async close(): Promise<void> {
    this.#isClosed = true;
    const child = this.#child;
    if (child === undefined || child.exitCode !== null) return;
    const exited = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await exited;
  }
}
