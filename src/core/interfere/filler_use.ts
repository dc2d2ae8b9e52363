/** The use that fillers make of a worker: image to part of its processors. */
export type FillerUse = ReadonlyMap<string, number>;
