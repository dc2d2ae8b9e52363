/**
 * The pressure to expect of a pair of images before any sample of it. Most
 * pairs interfere, so a few fillers of a new image are tried beside a service
 * before many are.
 */
export const unknownPressure = 1.5;
