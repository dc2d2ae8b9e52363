/** What runners did with each task, to explain a violation. */
export class RunTrace {
  readonly #lines = new Map<string, string[]>();

  add(task: string, line: string): void {
    const lines = this.#lines.get(task) ?? [];
    lines.push(`${new Date().toISOString()} ${line}`);
    this.#lines.set(task, lines);
  }

  linesOf(task: string): readonly string[] {
    return this.#lines.get(task) ?? [];
  }
}
