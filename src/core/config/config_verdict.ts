/** Whether a published change was accepted, and if not, why. */
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
