import type { ErrorDescriptor } from "./error_descriptor.ts";
import type { ErrorKind } from "./error_kind.ts";
import type { ExecutionStatus } from "./execution_status.ts";

const row = (
  httpStatus: number,
  exitCode: number,
  ran: ExecutionStatus,
  retry: ErrorDescriptor["retry"],
  text: string,
): ErrorDescriptor => ({ httpStatus, exitCode, ran, retry, text });

/** How each error kind is reported. */
export const errorTable: Readonly<Record<ErrorKind, ErrorDescriptor>> = {
  bad_request: row(400, 2, "no", "never", "the request is malformed"),
  body_too_large: row(413, 2, "no", "never", "the body is over the limit"),
  unknown_service: row(404, 2, "no", "never", "no such service"),
  unknown_job: row(404, 2, "no", "never", "no such job template"),
  unknown_member: row(403, 2, "no", "never", "no such member"),
  not_found: row(404, 4, "no", "never", "nothing is known by this id"),
  duplicate_key: row(
    409,
    3,
    "no",
    "never",
    "the key was used for another request",
  ),
  no_runner: row(503, 5, "no", "always", "no runner is ready"),
  overloaded: row(503, 5, "no", "always", "all runners are at their limit"),
  deadline_too_short: row(
    503,
    5,
    "no",
    "always",
    "it cannot be answered in time",
  ),
  leaving: row(503, 5, "no", "always", "the process is leaving"),
  runner_unreachable: row(
    502,
    5,
    "no",
    "always",
    "the runner refused the connection",
  ),
  log_unavailable: row(503, 5, "no", "always", "the log cannot be reached"),
  keeper_unreachable: row(
    503,
    5,
    "no",
    "always",
    "the cell has no keeper that answers",
  ),
  timeout: row(504, 5, "unknown", "idempotent", "no answer came in time"),
  truncated: row(502, 5, "unknown", "idempotent", "the answer was cut short"),
  mismatched: row(
    502,
    5,
    "unknown",
    "idempotent",
    "the answer belongs to another request",
  ),
  runner_failed: row(
    502,
    5,
    "yes",
    "idempotent",
    "the runner reported a failure",
  ),
  outcome_unknown: row(
    502,
    5,
    "unknown",
    "idempotent",
    "it may or may not have taken effect",
  ),
  conflict: row(409, 3, "no", "never", "another change was accepted first"),
  bad_settings: row(400, 2, "no", "never", "the settings are not valid"),
  bad_configuration: row(
    400,
    2,
    "no",
    "never",
    "the configuration is not valid",
  ),
  usage: row(400, 2, "no", "never", "the command line is not valid"),
  internal: row(500, 1, "unknown", "idempotent", "an unexpected fault"),
};
