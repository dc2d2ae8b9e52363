/** Why a request or a connection was refused or closed at a limit. */
export type LimitReason =
  /** All requests hold too much: an unfinished body gave way. */
  | "body_evicted"
  /** The body did not come within the caller's time. */
  | "body_late"
  /** All requests hold too much, and none of them waits for its body. */
  | "requests_full";
