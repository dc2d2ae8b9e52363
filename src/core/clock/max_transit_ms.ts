/**
 * How long after a start has left a next life of its runner may still take it or
 * extend the lease that came with it, unless a call is executed late.
 */
export const maxTransitMs = 1_200;
