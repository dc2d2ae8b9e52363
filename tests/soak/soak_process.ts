import { type ChildProcess, spawn } from "node:child_process";
import { currentProgram } from "./current_program.ts";
import { createWriteStream, writeFileSync } from "node:fs";

const restartDelayMs = 500;
/** From SIGTERM to SIGKILL, as in the settings. */
const graceMs = 3_000;

/** One process of the system, restarted whenever it exits. */
export class SoakProcess {
  /** What the next start runs. */
  program = currentProgram;
  /** What it runs now, or ran last. */
  runs = currentProgram;
  /** How often it has ended without a signal from here. */
  ownEnds = 0;
  /** Whether it is alive and not paused. */
  isRunning = false;
  /** After the next exit it stays away until `resume`. */
  #isHalted = false;
  #nextRestartDelayMs = restartDelayMs;
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
    if (this.#isClosed || !this.#hasExited()) return;
    const path = `${this.basePath}.conf`;
    const lines = Object.entries(this.settings).map(([k, v]) => `${k}=${v}`);
    writeFileSync(path, lines.join("\n"));
    this.runs = this.program;
    const child = spawn(process.execPath, [this.program, this.role], {
      env: { PATH: process.env.PATH, GYPSUMPOND_BOOT: path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    this.isRunning = true;
    const logFile = createWriteStream(`${this.basePath}.log`, { flags: "a" });
    child.stdout?.pipe(logFile);
    child.stderr?.pipe(logFile, { end: false });
    child.once("exit", () => {
      if (!this.#isSignalled && !this.#isClosed) this.ownEnds += 1;
      this.#isSignalled = false;
      this.isRunning = false;
      if (this.#isHalted) return;
      setTimeout(() => {
        if (!this.#isHalted) this.start();
      }, this.#nextRestartDelayMs);
      this.#nextRestartDelayMs = restartDelayMs;
    });
  }

  signal(name: NodeJS.Signals): void {
    this.#isSignalled = true;
    if (name === "SIGSTOP") this.isRunning = false;
    if (name === "SIGCONT") this.isRunning = !this.#hasExited();
    this.#child?.kill(name);
  }

  /** Kills it; it begins anew after the delay. */
  kill(restartAfterMs: number): void {
    if (this.#hasExited()) return;
    this.#nextRestartDelayMs = restartAfterMs;
    this.signal("SIGKILL");
  }

  /** Shuts it down as the platform does; it stays away until `resume`. */
  halt(): void {
    this.#isHalted = true;
    const child = this.#child;
    this.signal("SIGTERM");
    const timer = setTimeout(() => child?.kill("SIGKILL"), graceMs);
    child?.once("exit", () => clearTimeout(timer));
  }

  /** Starts it after `halt`. */
  resume(): void {
    if (!this.#isHalted) return;
    this.#isHalted = false;
    this.start();
  }

  #hasExited(): boolean {
    const child = this.#child;
    return child === undefined || child.exitCode !== null ||
      child.signalCode !== null;
  }

  /** Kills the process and does not restart it. */
  async close(): Promise<void> {
    this.#isClosed = true;
    const child = this.#child;
    if (child === undefined || this.#hasExited()) return;
    const exited = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await exited;
  }
}
