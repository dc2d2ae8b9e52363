/** The shape of a state chart file: states and what each event leads to. */
export interface ChartFile {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<
    Record<string, { readonly on?: Readonly<Record<string, string>> }>
  >;
}
