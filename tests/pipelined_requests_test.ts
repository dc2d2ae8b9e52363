import { callersHost } from "./soak/callers_host.ts";
import { describeCrowds } from "./crowd/describe_crowds.ts";
import { ordinaryRequest } from "./crowd/ordinary_request.ts";

const { job, heartbeat, probe } = ordinaryRequest;

/** Clients that send a request again and again and read no answer. */
function pipelined(clients: number, path: string, times: number) {
  const request = `GET ${path} HTTP/1.1\r\nhost: ${callersHost}\r\n` +
    "deadline-ms: 600000\r\n\r\n";
  const bytes = Buffer.from(request.repeat(times));
  return { clients, parts: () => [bytes], reads: false };
}

describeCrowds("requests sent ahead and answers nobody reads are bounded", [
  {
    role: "entry",
    listener: "front",
    ordinary: job,
    name: "counts of jobs",
    plan: pipelined(100, "/q/", 3_000),
  },
  {
    role: "entry",
    listener: "front",
    ordinary: job,
    name: "states of jobs that the store is asked for",
    plan: pipelined(100, "/q/00000000000000bb", 2_000),
    isStoreHung: true,
  },
  {
    role: "entry",
    listener: "ready",
    ordinary: probe,
    name: "probes",
    plan: pipelined(100, "/v1/readiness", 3_000),
  },
  {
    role: "entry",
    listener: "metrics",
    ordinary: probe,
    name: "metrics",
    plan: pipelined(20, "/metrics", 2_000),
  },
  {
    role: "sidecar",
    listener: "control",
    ordinary: heartbeat,
    name: "unknown calls",
    plan: pipelined(100, "/none", 3_000),
  },
  {
    role: "sidecar",
    listener: "metrics",
    ordinary: probe,
    name: "metrics",
    plan: pipelined(20, "/metrics", 2_000),
  },
]);

const step = { count: 1, image: "i".repeat(60_000) };
const largeJob = JSON.stringify({ spec: "s", steps: [step, step, step, step] });
const idDigits = 16;

describeCrowds("jobs that wait for the store are bounded", [{
  role: "entry",
  listener: "front",
  ordinary: job,
  name: "large jobs",
  isStoreHung: true,
  plan: {
    clients: 600,
    parts: (client) => [
      `POST /q/${client.toString(16).padStart(idDigits, "0")} HTTP/1.1\r\n` +
      `host: ${callersHost}\r\ndeadline-ms: 600000\r\n` +
      `content-length: ${largeJob.length}\r\n\r\n`,
      largeJob,
    ],
  },
}]);

describeCrowds("reads of the store that requests set off are bounded", [{
  role: "entry",
  listener: "front",
  ordinary: job,
  name: "states of unknown jobs",
  maxFds: 400,
  isStoreHung: true,
  plan: { ...pipelined(80, "/q/00000000000000bb", 4), reads: true },
}]);
