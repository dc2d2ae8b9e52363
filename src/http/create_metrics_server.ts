import { createServer, type Server } from "node:http";
import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";

const contentType = "text/plain; version=0.0.4; charset=utf-8";

/** Returns a server that answers every path with the process's metrics. */
export function createMetricsServer(metrics: PrometheusMetrics): Server {
  return createServer((_request, response) => {
    metrics.text().then(
      (text) => {
        response.writeHead(200, { "content-type": contentType }).end(text);
      },
      () => response.writeHead(500).end(),
    );
  });
}
