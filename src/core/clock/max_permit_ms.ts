/** A start leaves at most this long after the report whose renewal permits it. */
export const maxPermitMs = 700;
