/** The key, in the keeper's stream, of what it observed of evacuations. */
export const evacuationRowKey = "evacuation";
