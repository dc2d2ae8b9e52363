import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import { systemClock } from "../adapters/system_clock.ts";
import type { KeeperLinks } from "../cellhost/keeper_links.ts";
import { LoadReporter } from "../cellhost/load_reporter.ts";
import type { Cell } from "../core/cell/cell.ts";
import { ContentionOrder } from "../core/queueing/contention_order.ts";
import type { ContentionOptions } from "../core/queueing/contention_options.ts";
import { LoadAdmission } from "../core/queueing/load_admission.ts";
import type { LoadSummary } from "../core/queueing/load_summary.ts";

/** What an entry knows of the cell's load, as keeper or from its keeper. */
export class EntryLoad {
  /** Set where jobs are refused for load. */
  readonly admission: LoadAdmission | undefined;

  constructor(
    readonly options: ContentionOptions | undefined,
    readonly metrics: PrometheusMetrics,
  ) {
    if (options?.admits) this.admission = new LoadAdmission();
  }

  receive(summary: LoadSummary): void {
    this.admission?.receive(summary, performance.now());
  }

  /** Sets the order in which a term's cell places waiting groups. */
  prepare(cell: Cell): void {
    if (this.options?.sharesFairly) cell.order = new ContentionOrder();
  }

  /** Creates the reporter of a term, which publishes to this entry too. */
  newReporter(links: KeeperLinks): LoadReporter | undefined {
    if (!this.options?.admits && !this.options?.sharesFairly) return undefined;
    return new LoadReporter(this.metrics, systemClock, (summary) => {
      if (!this.options?.admits) return;
      links.sendToEntries({ kind: "load", ...summary });
      this.receive(summary);
    });
  }
}
