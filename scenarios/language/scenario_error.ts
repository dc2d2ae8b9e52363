/** A scenario that cannot be parsed, or whose expectation does not hold. */
export class ScenarioError extends Error {
  constructor(file: string, line: number, text: string) {
    super(`${file}:${line}: ${text}`);
    this.name = "ScenarioError";
  }
}
