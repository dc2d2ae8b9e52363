/**
 * A keeper renews leases only within this time after an append that the store
 * confirmed: another may have been elected since.
 */
export const confirmationValidMs = 8_000;
