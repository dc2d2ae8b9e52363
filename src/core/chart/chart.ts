import type { ChartFile } from "./chart_file.ts";

/** A state chart compiled from its file into a transition table. */
export class Chart<S extends string, E extends string> {
  readonly initial: S;
  readonly #table = new Map<string, ReadonlyMap<string, string>>();

  constructor(file: ChartFile) {
    for (const [name, state] of Object.entries(file.states)) {
      this.#table.set(name, new Map(Object.entries(state.on ?? {})));
    }
    for (const [name, events] of this.#table) {
      for (const [event, target] of events) {
        if (this.#table.has(target)) continue;
        throw new Error(`${file.id}: ${name} ${event}: no state ${target}`);
      }
    }
    if (!this.#table.has(file.initial)) {
      throw new Error(`${file.id}: no initial state ${file.initial}`);
    }
    this.initial = file.initial as S;
  }

  /** The state that follows, or undefined where the event is not allowed. */
  next(state: S, event: E): S | undefined {
    return this.#table.get(state)?.get(event) as S | undefined;
  }

  /** Whether no event leads out of the state. */
  isFinal(state: S): boolean {
    return (this.#table.get(state)?.size ?? 0) === 0;
  }
}
