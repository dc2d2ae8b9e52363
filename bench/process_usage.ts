import { readFileSync } from "node:fs";

/** Unit of the CPU times in /proc (USER_HZ on Linux). */
const ticksPerSecond = 100;

/** CPU time and memory of a running process, read from /proc. */
export class ProcessUsage {
  constructor(readonly pid: number) {}

  /** CPU time used so far, in milliseconds. */
  cpuMs(): number {
    const text = readFileSync(`/proc/${this.pid}/stat`, "utf8");
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    return ticks * 1_000 / ticksPerSecond;
  }

  /** Resident memory in MB: total, anonymous and file-backed. */
  memoryMb(): { all: number; anonymous: number; file: number } {
    const text = readFileSync(`/proc/${this.pid}/status`, "utf8");
    const readMb = (name: string): number =>
      Number(new RegExp(`${name}:\\s+(\\d+)`).exec(text)?.[1] ?? 0) / 1_024;
    return {
      all: readMb("VmRSS"),
      anonymous: readMb("RssAnon"),
      file: readMb("RssFile"),
    };
  }
}
