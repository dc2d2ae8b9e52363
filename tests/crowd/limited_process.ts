import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { currentProgram } from "../soak/current_program.ts";

const kbPerMb = 1_024;
const msPerTick = 10;
/** The places of the user and system time in /proc/PID/stat. */
const userTicksAt = 13;
const systemTicksAt = 14;

/** One process of the system, which is not restarted when it ends. */
export class LimitedProcess {
  /** Why it ended by itself; undefined while it runs. */
  end: string | undefined;
  /** The most memory that was measured, in MB. */
  peakMb = 0;
  /** The most descriptors that were counted. */
  peakDescriptors = 0;
  readonly #child: ChildProcess;
  #isClosed = false;

  constructor(
    role: "entry" | "sidecar",
    settings: Readonly<Record<string, string | number>>,
    nodeFlags: readonly string[],
  ) {
    const path = join(mkdtempSync(join(tmpdir(), "crowd-")), "settings");
    const lines = Object.entries(settings).map(([k, v]) => `${k}=${v}`);
    writeFileSync(path, lines.join("\n"));
    this.#child = spawn(
      process.execPath,
      [...nodeFlags, currentProgram, role],
      {
        env: { PATH: process.env.PATH, GYPSUMPOND_BOOT: path },
        stdio: "ignore",
      },
    );
    this.#child.once("exit", (code, signal) => {
      if (!this.#isClosed) this.end = `ended with ${signal ?? code}`;
    });
  }

  /** Measures memory and descriptors. */
  measure(): void {
    const peakKb = /VmHWM:\s+(\d+)/.exec(this.#read("status"))?.[1] ?? 0;
    this.peakMb = Math.max(this.peakMb, Math.round(Number(peakKb) / kbPerMb));
    this.peakDescriptors = Math.max(this.peakDescriptors, this.#descriptors());
  }

  /** The processor time used so far. */
  get cpuMs(): number {
    const fields = this.#read("stat").split(" ");
    const ticks = [userTicksAt, systemTicksAt].map((at) => Number(fields[at]));
    return ticks.reduce((sum, each) => sum + (each || 0), 0) * msPerTick;
  }

  /** Kills the process. */
  async close(): Promise<void> {
    this.#isClosed = true;
    const child = this.#child;
    if (child.exitCode !== null || child.signalCode !== null) return;
    const exited = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await exited;
  }

  #descriptors(): number {
    try {
      return readdirSync(`/proc/${this.#child.pid}/fd`).length;
    } catch {
      return 0;
    }
  }

  #read(name: string): string {
    try {
      return readFileSync(`/proc/${this.#child.pid}/${name}`, "utf8");
    } catch {
      return "";
    }
  }
}
