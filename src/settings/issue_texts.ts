import type { FileIssue } from "./file_issue.ts";

type Texts = {
  readonly [K in FileIssue["code"]]: (
    issue: Extract<FileIssue, { code: K }>,
  ) => string;
};

/** The message of each issue code. */
export const issueTexts: Texts = {
  unreadable: ({ cause }) => `cannot be read: ${cause}`,
  syntax: ({ problem }) => `is not JSON with comments: ${problem}`,
  unknown_field: ({ field }) => `${field}: no such field`,
  missing_field: ({ field }) => `${field}: is missing`,
  invalid_value: ({ field, expected }) => `${field}: ${expected}`,
  inconsistent: ({ problem }) => problem,
  warning: ({ problem }) => `warning: ${problem}`,
};
