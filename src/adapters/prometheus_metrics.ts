import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
  Summary,
} from "prom-client";

const prefix = "gypsumpond_";
const forecastWindowMs = 60_000;
const msPerSecond = 1_000;
const latencyBucketsS = [
  0.002,
  0.005,
  0.01,
  0.02,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  2.5,
];
const restartBucketsS = [0.1, 0.25, 0.5, 1, 2, 3, 4, 6, 9, 12, 20, 40];

/** Help text and label names of each counter, by name without the prefix. */
const counters = {
  requests: ["Callers' requests", ["call", "outcome"]],
  submission_failovers: ["Rows stored in a spare stream", []],
  submissions_held: ["Submissions held in an outage", ["outcome"]],
  refusals: ["Submissions refused, by reason", ["reason"]],
  store_calls: ["Calls to the store", ["call", "outcome"]],
  starts: ["Runs that were ordered", []],
  starts_dropped: ["Starts given up before they left the keeper", []],
  starts_held: [
    "Starts held until the operator's stream was read again",
    [],
  ],
  start_refusals: ["Runs that were surely not started", ["reason"]],
  stops: ["Runs that were told to stop", ["reason"]],
  ends: ["Runs that ended", ["outcome"]],
  workers_lost: ["Workers whose leases ran out unseen", []],
  jobs_admitted: ["Jobs admitted at the first request", ["queue", "party"]],
  jobs_returned: ["Jobs admitted after a refusal", ["queue", "party"]],
  jobs_refused: ["Jobs refused for load", ["queue", "party"]],
  decisions: ["Decisions about uneven runs and workers", ["event"]],
  limits_reached: ["Requests and connections cut at a limit", ["reason"]],
  terms: ["Terms of office begun", []],
} as const;

/** Help text and label names of each gauge, by name without the prefix. */
const gauges = {
  epoch: ["Epoch of the newest keeper that was heard", []],
  in_office: ["1 while this process keeps the cell", []],
  configuration_version: ["Version of the configuration in force", []],
  jobs_live: ["Jobs without outcome that the keeper knows", []],
  outage_forecast_ms: [
    "Expected rest of the store's outage; 0 if there is none",
    [],
  ],
  workers_suspected: ["Workers that are suspected of being slow", []],
  straggler_help_share: ["Share of restarts of long runs that helped", []],
  extra_core_seconds: ["Work that restarts of stragglers may have cost", []],
  declared_error: ["Mean factor by which declared run times are off", []],
  learned_error: ["Mean factor by which learned run times are off", []],
  tasks_waiting: ["Tasks that have waited for over 2 s, by why", ["reason"]],
  workers: ["Workers that the keeper has adopted", []],
  starts_pending: ["Starts under way on all workers", []],
  runner_calls_waiting: [
    "Starts, stops and paces that wait for a call to the runner to end",
    [],
  ],
  operator_rows_age_ms: [
    "How old the keeper's read of the operator's rows is",
    [],
  ],
  evacuated_tasks: ["Tasks that run in evacuated data centres", []],
  waiting_core_seconds: ["Work that waits for capacity", ["queue", "party"]],
} as const;

/** The metrics of a process, exported in the Prometheus text format. */
export class PrometheusMetrics {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, Counter>();
  readonly #gauges = new Map<string, Gauge>();
  readonly #storeSeconds: Histogram;
  readonly #forecastErrorMs: Summary;
  readonly #holdSeconds: Histogram;
  readonly #restartSeconds: Histogram;

  constructor() {
    const registers = [this.#registry];
    for (const [name, [help, labelNames]] of Object.entries(counters)) {
      const options = { name: `${prefix}${name}_total`, help, registers };
      const counter = new Counter({ ...options, labelNames: [...labelNames] });
      this.#counters.set(name, counter);
    }
    for (const [name, [help, labelNames]] of Object.entries(gauges)) {
      const options = { name: `${prefix}${name}`, help, registers };
      const gauge = new Gauge({ ...options, labelNames: [...labelNames] });
      this.#gauges.set(name, gauge);
    }
    this.#storeSeconds = new Histogram({
      name: `${prefix}store_call_seconds`,
      help: "How long calls to the store took",
      labelNames: ["call"],
      buckets: latencyBucketsS,
      registers,
    });
    this.#forecastErrorMs = new Summary({
      name: `${prefix}forecast_error_ms`,
      help: "How far jobs ended from their predicted end, either way",
      labelNames: ["queue"],
      percentiles: [0.5, 0.95],
      maxAgeSeconds: forecastWindowMs / msPerSecond,
      ageBuckets: 6,
      registers,
    });
    this.#holdSeconds = new Histogram({
      name: `${prefix}submission_hold_seconds`,
      help: "How long submissions were held in outages",
      buckets: latencyBucketsS,
      registers,
    });
    this.#restartSeconds = new Histogram({
      name: `${prefix}service_restart_seconds`,
      help: "From the end of a service task's run to the next one's beginning",
      buckets: restartBucketsS,
      registers,
    });
    collectDefaultMetrics({ register: this.#registry, prefix });
  }

  /** Counts one event. */
  count(
    name: keyof typeof counters,
    labels: Readonly<Record<string, string>> = {},
  ): void {
    this.#counters.get(name)?.inc(labels);
  }

  /** Sets a gauge. */
  setGauge(
    name: keyof typeof gauges,
    value: number,
    labels: Readonly<Record<string, string>> = {},
  ): void {
    this.#gauges.get(name)?.set(labels, value);
  }

  addToGauge(
    name: keyof typeof gauges,
    value: number,
    labels: Readonly<Record<string, string>>,
  ): void {
    this.#gauges.get(name)?.inc(labels, value);
  }

  /** Removes a gauge's values for all labels. */
  resetGauge(name: keyof typeof gauges): void {
    this.#gauges.get(name)?.reset();
  }

  /** Records the outcome and duration of a call to the store. */
  recordStoreCall(call: string, outcome: string, tookMs: number): void {
    this.count("store_calls", { call, outcome });
    this.#storeSeconds.observe({ call }, tookMs / msPerSecond);
  }

  /** Records how far a job ended from the end predicted at its submission. */
  recordForecastError(queue: string, errorMs: number): void {
    this.#forecastErrorMs.observe({ queue }, errorMs);
  }

  /** Records how long a submission was held in an outage. */
  recordHold(heldMs: number): void {
    this.#holdSeconds.observe(heldMs / msPerSecond);
  }

  /** Records how long after the end of a service task's run the next began. */
  recordRestart(tookMs: number): void {
    this.#restartSeconds.observe(tookMs / msPerSecond);
  }

  /** Returns all metrics in the text format. */
  async text(): Promise<string> {
    return await this.#registry.metrics();
  }
}
