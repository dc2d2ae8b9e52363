/** A problem in a file, with its location. */
export type FileIssue =
  & { readonly file: string; readonly line: number; readonly column: number }
  & (
    | { readonly code: "unreadable"; readonly cause: string }
    | { readonly code: "syntax"; readonly problem: string }
    | { readonly code: "unknown_field"; readonly field: string }
    | { readonly code: "missing_field"; readonly field: string }
    | {
      readonly code: "invalid_value";
      readonly field: string;
      readonly expected: string;
    }
    | { readonly code: "inconsistent"; readonly problem: string }
    | { readonly code: "warning"; readonly problem: string }
  );
