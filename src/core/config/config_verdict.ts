/** The verdict on a published change. */
export type ConfigVerdict =
  | { readonly accepted: true; readonly revision: number }
  | {
    readonly accepted: false;
    readonly reason: "conflict";
    readonly key: string;
    readonly by: string;
    readonly revision: number;
  }
  | {
    readonly accepted: false;
    readonly reason: "invalid";
    readonly problem: string;
  };
