import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, writeFileSync } from "node:fs";

const restartMs = 500;
const program = "target/gypsumpond.mjs";

/** One of our processes, started again whenever it ends, as the platform does. */
export class SoakProcess {
  #child: ChildProcess | undefined;
  #isOver = false;

  constructor(
    readonly name: string,
    readonly role: "entry" | "sidecar",
    readonly settings: Readonly<Record<string, string | number>>,
    /** Its settings and its log, without their suffixes. */
    readonly path: string,
  ) {}

  start(): void {
    if (this.#isOver) return;
    const path = `${this.path}.conf`;
    const lines = Object.entries(this.settings).map(([k, v]) => `${k}=${v}`);
    writeFileSync(path, lines.join("\n"));
    const child = spawn(process.execPath, [program, this.role], {
      env: { PATH: process.env.PATH, GYPSUMPOND_BOOT: path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    const out = createWriteStream(`${this.path}.log`, { flags: "a" });
    child.stdout?.pipe(out);
    child.stderr?.pipe(out, { end: false });
    child.once("exit", () => {
      setTimeout(() => this.start(), restartMs);
    });
  }

  signal(name: NodeJS.Signals): void {
    this.#child?.kill(name);
  }

  /** Ends it for good. */
  async close(): Promise<void> {
    this.#isOver = true;
    const child = this.#child;
    if (child === undefined || child.exitCode !== null) return;
    const exited = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await exited;
  }
}
