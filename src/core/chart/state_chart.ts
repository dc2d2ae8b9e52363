import type { StateChartDefinition } from "./state_chart_definition.ts";

/**
 * A state chart, compiled from its definition into a transition table. The
 * constructor throws if a state that the definition refers to is missing.
 */
export class StateChart<S extends string, E extends string> {
  readonly initial: S;
  readonly #transitions = new Map<string, ReadonlyMap<string, string>>();

  constructor(definition: StateChartDefinition) {
    for (const [name, state] of Object.entries(definition.states)) {
      this.#transitions.set(name, new Map(Object.entries(state.on ?? {})));
    }
    for (const [name, events] of this.#transitions) {
      for (const [event, target] of events) {
        if (this.#transitions.has(target)) continue;
        throw new Error(
          `${definition.id}: ${name} ${event}: no state ${target}`,
        );
      }
    }
    if (!this.#transitions.has(definition.initial)) {
      throw new Error(
        `${definition.id}: no initial state ${definition.initial}`,
      );
    }
    this.initial = definition.initial as S;
  }

  /** Returns the next state, or undefined if the event is not allowed. */
  next(state: S, event: E): S | undefined {
    return this.#transitions.get(state)?.get(event) as S | undefined;
  }

  /** Whether no event leaves the state. */
  isFinal(state: S): boolean {
    return (this.#transitions.get(state)?.size ?? 0) === 0;
  }
}
