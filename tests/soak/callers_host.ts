/** The host that the configuration's route names. */
export const callersHost = "soak.example";
