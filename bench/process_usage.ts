import { readFileSync } from "node:fs";

const ticksPerSecond = 100;

/** Processor time and memory of a running process, as the system counts it. */
export class ProcessUsage {
  constructor(readonly pid: number) {}

  /** Processor time spent so far, in milliseconds. */
  cpuMs(): number {
    const text = readFileSync(`/proc/${this.pid}/stat`, "utf8");
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    return ticks * 1_000 / ticksPerSecond;
  }

  /** Resident memory in MB: all, anonymous and file-backed. */
  memoryMb(): { all: number; anonymous: number; file: number } {
    const text = readFileSync(`/proc/${this.pid}/status`, "utf8");
    const read = (name: string): number =>
      Number(new RegExp(`${name}:\\s+(\\d+)`).exec(text)?.[1] ?? 0) / 1_024;
    return {
      all: read("VmRSS"),
      anonymous: read("RssAnon"),
      file: read("RssFile"),
    };
  }
}
