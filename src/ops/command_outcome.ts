/** What an operator's command prints, and its exit code. */
export interface CommandOutcome {
  readonly text: string;
  readonly exitCode: number;
}
