import manifest from "../../package.json" with { type: "json" };

/** The version of this build. */
export const version: string = manifest.version;
