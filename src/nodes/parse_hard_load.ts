import type { HardLoad } from "./hard_load.ts";

/** Reads the features that the settings turn on; absent ones are off. */
export function parseHardLoad(values: ReadonlyMap<string, string>): HardLoad {
  const isOn = (feature: string): boolean => {
    const key = `features.${feature}`;
    const value = values.get(key) ?? "false";
    if (value === "true" || value === "false") return value === "true";
    throw new Error(`${key} is neither true nor false`);
  };
  return {
    holdsSubmissions: isOn("holdsSubmissions"),
    admits: isOn("admits"),
    sharesFairly: isOn("sharesFairly"),
    learnsRunTimes: isOn("learnsRunTimes"),
    watchesSpeed: isOn("watchesSpeed"),
    limitsAttempts: isOn("limitsAttempts"),
  };
}
