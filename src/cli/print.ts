/** Writes one line for the operator. */
export function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
