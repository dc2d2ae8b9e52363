/** The share by which clocks of two machines may differ in speed. */
export const clockDrift = 0.02;
