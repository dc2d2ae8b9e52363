/** The log stream that holds the configuration. */
export const configStream = "config";
