import type { Logger } from "../adapters/logger.ts";
import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import type { Clock } from "../core/clock/clock.ts";
import type { OperatorRead } from "../core/evacuate/operator_read.ts";
import type { UnevenLoad } from "../core/cell/uneven_load.ts";
import type { Advisor } from "./advisor.ts";
import type { JobDirectory } from "./job_directory.ts";
import type { KeeperBounds } from "./keeper_bounds.ts";
import type { KeeperLinks } from "./keeper_links.ts";
import type { LoadReporter } from "./load_reporter.ts";
import type { Predecessor } from "./predecessor.ts";
import type { RowWriter } from "./row_writer.ts";

/** What a keeper's session works with. */
export interface KeeperSessionOptions {
  readonly epoch: number;
  /** The writer of the cell's stream, which has taken the stream over. */
  readonly writer: RowWriter;
  /** The keeper of the term before; undefined if nothing is known of it. */
  readonly predecessor?: Predecessor | undefined;
  readonly directory: JobDirectory;
  readonly bounds: KeeperBounds;
  readonly links: KeeperLinks;
  /** The newest complete read of the operator's stream. */
  readonly operatorRead?: () => OperatorRead | undefined;
  /** What the cell does about uneven demand; nothing if undefined. */
  readonly unevenLoad?: UnevenLoad;
  readonly advisor: Advisor;
  readonly clock: Clock;
  readonly metrics: PrometheusMetrics;
  readonly log: Logger;
  /** Set where contended capacity is decided on forecasts. */
  readonly load?: LoadReporter | undefined;
}
