import { describeCrowds } from "./crowd/describe_crowds.ts";
import { ordinaryRequest } from "./crowd/ordinary_request.ts";

const { job, heartbeat, hello, probe } = ordinaryRequest;
const maxFds = 400;
const clients = 600;
const silent = { clients, parts: () => [] };
const answered = {
  clients,
  parts: () => ["GET /none HTTP/1.1\r\nhost: none\r\n\r\n"],
};

const cases = [
  { role: "entry", listener: "front", ordinary: job },
  { role: "entry", listener: "ready", ordinary: probe },
  { role: "entry", listener: "metrics", ordinary: probe },
  { role: "sidecar", listener: "control", ordinary: heartbeat },
  { role: "sidecar", listener: "metrics", ordinary: probe },
] as const;

describeCrowds("idle connections leave descriptors to others", [
  ...cases.map((each) => ({
    ...each,
    maxFds,
    name: "silent clients",
    plan: silent,
  })),
  ...cases.filter(({ listener }) => listener !== "metrics").map((each) => ({
    ...each,
    maxFds,
    name: "clients after an answer",
    plan: answered,
  })),
  ...(["entry", "sidecar"] as const).map((role) => ({
    role,
    listener: "peers" as const,
    ordinary: hello,
    maxFds,
    name: "empty lines",
    plan: { clients, parts: () => ["\n"] },
  })),
]);
