/** The shortest and the longest time that tasks which outlast a cut run. */
export const lastingMs = { min: 8_000, max: 14_000 } as const;
