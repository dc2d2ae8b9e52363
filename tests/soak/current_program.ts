/** The program of this checkout, as the platform runs it. */
export const currentProgram = "target/gypsumpond.mjs";
