/** The name of the configuration's stream in the log. */
export const configStream = "config";
