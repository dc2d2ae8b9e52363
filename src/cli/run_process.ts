import { Logger } from "../adapters/logger.ts";
import { StatsdMetrics } from "../adapters/statsd_metrics.ts";
import type { Endpoint } from "../schema/endpoint.ts";
import type { PeerId } from "../schema/peer_id.ts";

/** An entry or a sidecar. */
interface DrainableProcess {
  start(): Promise<void>;
  drain(): Promise<void>;
}

interface CommonSettings {
  readonly id: PeerId;
  readonly logLevel: "debug" | "info" | "warn" | "error";
  readonly metrics?: Endpoint | undefined;
}

const drainTimeoutMs = 30_000;
/** The exit codes that the help text of the command line lists. */
const drainTimedOutCode = 6;
const forcedCode = 7;

/**
 * Starts a process and drains it on SIGTERM or SIGINT. A second signal ends it
 * at once.
 */
export async function runProcess(
  role: string,
  settings: CommonSettings,
  create: (logger: Logger, metrics: StatsdMetrics) => DrainableProcess,
): Promise<void> {
  const logger = new Logger(settings.logLevel, { role, id: settings.id });
  const metrics = new StatsdMetrics();
  if (settings.metrics) await metrics.connect(settings.metrics);
  const drainable = create(logger, metrics);
  process.on("unhandledRejection", (cause) => {
    metrics.count("fault");
    const detail = cause instanceof Error ? cause.stack : String(cause);
    logger.error("fault", { detail });
  });
  await drainable.start();
  let isDraining = false;
  const onSignal = (): void => {
    if (isDraining) process.exit(forcedCode);
    isDraining = true;
    void drain(drainable, logger, metrics);
  };
  process.on("SIGTERM", onSignal);
  process.on("SIGINT", onSignal);
}

async function drain(
  drainable: DrainableProcess,
  logger: Logger,
  metrics: StatsdMetrics,
): Promise<void> {
  logger.info("leaving");
  const timer = setTimeout(() => {
    logger.error("drain_timed_out", { afterMs: drainTimeoutMs });
    process.exit(drainTimedOutCode);
  }, drainTimeoutMs);
  await drainable.drain();
  clearTimeout(timer);
  logger.info("left", metrics.counts());
  metrics.close();
  process.exit(0);
}
