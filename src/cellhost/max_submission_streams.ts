/**
 * In how many streams jobs are stored at most. With a third of the store's
 * partitions down, all three are down in one case of 27.
 */
export const maxSubmissionStreams = 3;
