/** Why a request or a connection was refused or closed at a limit. */
export type LimitReason =
  /** All requests hold too much: an unfinished body gave way. */
  | "body_evicted"
  /** The body did not come within the caller's time. */
  | "body_late"
  /** All requests hold too much, and none of them waits for its body. */
  | "requests_full"
  /** One connection has sent too many requests ahead of their answers. */
  | "requests_ahead"
  /** The listener is full: a connection without a whole request gave way. */
  | "connection_evicted"
  /** The listener is full, and all its connections have requests under way. */
  | "connections_full"
  /** The port for keepers is full: a connection without a hello gave way. */
  | "channel_evicted"
  /** The port for keepers is full of connections that have sent a hello. */
  | "channels_full"
  /** Unfinished messages to the port for keepers take too much: one gave way. */
  | "line_evicted";
