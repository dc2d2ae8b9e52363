/** Prints one line to standard output. */
export function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
