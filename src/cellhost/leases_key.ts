/** The key of the row of what a keeper knows of leases. */
export const leasesKey = "leases";
