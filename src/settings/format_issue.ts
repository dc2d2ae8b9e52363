import type { FileIssue } from "./file_issue.ts";
import { issueTexts } from "./issue_texts.ts";

/** Formats an issue as `FILE:LINE:COLUMN: TEXT`. */
export function formatIssue(issue: FileIssue): string {
  const text = issueTexts[issue.code] as (issue: FileIssue) => string;
  return `${issue.file}:${issue.line}:${issue.column}: ${text(issue)}`;
}
