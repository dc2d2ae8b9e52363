/** Share of a worker's processors that the fillers of each image use. */
export type FillerUse = ReadonlyMap<string, number>;
