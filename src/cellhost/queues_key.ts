/** The key of the row of the queues that a keeper knows. */
export const queuesKey = "queues";
