import { err, ok, type Result } from "true-myth/result";
import type { Logger } from "../adapters/logger.ts";
import { JobDirectory } from "../cellhost/job_directory.ts";
import { maxSubmissionStreams } from "../cellhost/max_submission_streams.ts";
import { streams } from "../cellhost/streams.ts";
import { submissionStreams } from "../cellhost/submission_streams.ts";
import type { Store } from "../core/store/store.ts";
import type { StoreFailure } from "../core/store/store_failure.ts";
import { PlatformView } from "./platform_view.ts";
import { readNewestRows } from "./read_newest_rows.ts";

/** Reads a deployment's state from its store. */
export async function readPlatformView(
  store: Store,
  log: Logger,
): Promise<Result<PlatformView, StoreFailure>> {
  const directory = new JobDirectory(log);
  for (const stream of submissionStreams(maxSubmissionStreams)) {
    const jobs = await readNewestRows(store, stream);
    if (jobs.isErr) return err(jobs.error);
    directory.applyJobRows([...jobs.value.values()]);
  }
  const rows = [];
  for (const stream of [streams.cell, streams.epochs, streams.members]) {
    const read = await readNewestRows(store, stream);
    if (read.isErr) return err(read.error);
    rows.push(read.value);
  }
  const [cell, epochs, peers] = rows;
  directory.applyProgressRows([...cell!.values()]);
  return ok(new PlatformView(directory, epochs!, peers!));
}
