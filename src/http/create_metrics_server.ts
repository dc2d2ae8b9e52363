import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import { BoundedServer } from "./bounded_server.ts";
import type { RequestBounds } from "./request_bounds.ts";

const contentType = "text/plain; version=0.0.4; charset=utf-8";

/** Returns a server that answers every path with the process's metrics. */
export function createMetricsServer(
  metrics: PrometheusMetrics,
  bounds: RequestBounds,
): BoundedServer {
  return new BoundedServer(bounds, async (_request, response) => {
    try {
      const text = await metrics.text();
      response.writeHead(200, { "content-type": contentType }).end(text);
    } catch {
      response.writeHead(500).end();
    }
  });
}
