/** The host of the configured route, which callers send as their host. */
export const callersHost = "soak.example";
