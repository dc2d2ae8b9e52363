/** After this many times its objective a job is of no use to its caller. */
export const usefulFactor = 3;
