import { Logger } from "../adapters/logger.ts";
import { StatsdMetrics } from "../adapters/statsd_metrics.ts";
import type { Endpoint } from "../schema/endpoint.ts";
import type { PeerId } from "../schema/peer_id.ts";

/** A process of the system that can be started and left in order. */
interface Service {
  start(): Promise<void>;
  drain(): Promise<void>;
}

interface CommonSettings {
  readonly id: PeerId;
  readonly logLevel: "debug" | "info" | "warn" | "error";
  readonly metrics?: Endpoint | undefined;
}

const longestDrainMs = 30_000;
const drainTimedOutCode = 6;
const forcedCode = 7;

/** Starts a process and drains it on SIGTERM; a second signal ends it at once. */
export async function runProcess(
  role: string,
  settings: CommonSettings,
  create: (logger: Logger, metrics: StatsdMetrics) => Service,
): Promise<void> {
  const logger = new Logger(settings.logLevel, { role, id: settings.id });
  const metrics = new StatsdMetrics();
  if (settings.metrics) await metrics.connect(settings.metrics);
  const service = create(logger, metrics);
  process.on("unhandledRejection", (cause) => {
    metrics.count("fault");
    const detail = cause instanceof Error ? cause.stack : String(cause);
    logger.error("fault", { detail });
  });
  await service.start();
  let isLeaving = false;
  const leave = (): void => {
    if (isLeaving) process.exit(forcedCode);
    isLeaving = true;
    void drain(service, logger, metrics);
  };
  process.on("SIGTERM", leave);
  process.on("SIGINT", leave);
}

async function drain(
  service: Service,
  logger: Logger,
  metrics: StatsdMetrics,
): Promise<void> {
  logger.info("leaving");
  const timer = setTimeout(() => {
    logger.error("drain_timed_out", { afterMs: longestDrainMs });
    process.exit(drainTimedOutCode);
  }, longestDrainMs);
  await service.drain();
  clearTimeout(timer);
  logger.info("left", metrics.counts());
  metrics.close();
  process.exit(0);
}
