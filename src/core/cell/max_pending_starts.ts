/**
 * A worker gets no further task while this many starts are under way on it. Its
 * sidecar passes them on one by one, and what is not placed yet can still go
 * elsewhere, or after more urgent work.
 */
export const maxPendingStarts = 64;
