/** A state chart as its JSON file holds it: per state, the target per event. */
export interface StateChartDefinition {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<
    Record<string, { readonly on?: Readonly<Record<string, string>> }>
  >;
}
