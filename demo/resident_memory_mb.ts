import { readFileSync } from "node:fs";

/** Resident memory of a process in MB; undefined if it cannot be read. */
export function residentMemoryMb(pid: number | undefined): number | undefined {
  try {
    const text = readFileSync(`/proc/${pid}/status`, "utf8");
    const kb = /VmRSS:\s+(\d+)/.exec(text)?.[1];
    return kb === undefined ? undefined : Number(kb) / 1_024;
  } catch {
    return undefined;
  }
}
