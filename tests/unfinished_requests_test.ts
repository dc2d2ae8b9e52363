import { callersHost } from "./soak/callers_host.ts";
import { describeCrowds } from "./crowd/describe_crowds.ts";
import { ordinaryRequest } from "./crowd/ordinary_request.ts";
import { unfinishedBody } from "./crowd/unfinished_body.ts";

const { job, heartbeat, probe } = ordinaryRequest;
const jobPath = "/q/ID";
const heartbeatPath = "/v1/instances/ID/heartbeat";
const manyHeaders = `GET /q/ HTTP/1.1\r\nhost: ${callersHost}\r\n` +
  "a:b\r\n".repeat(3_200);
const headers = { clients: 1_500, parts: () => [manyHeaders] };

const onFront = { role: "entry", listener: "front", ordinary: job } as const;
const onControl = {
  role: "sidecar",
  listener: "control",
  ordinary: heartbeat,
} as const;

describeCrowds("requests that stop before their end are bounded", [
  {
    ...onFront,
    name: "bodies in chunks of a byte",
    plan: unfinishedBody.byteChunks(24, jobPath),
  },
  {
    ...onFront,
    name: "bodies in large chunks",
    plan: unfinishedBody.largeChunks(800, jobPath),
  },
  {
    ...onFront,
    name: "bodies a byte short of their length",
    plan: unfinishedBody.withLength(800, jobPath),
  },
  {
    ...onFront,
    name: "bodies of requests that need none, which wait for the store",
    plan: unfinishedBody.unasked(40, jobPath),
    isStoreHung: true,
  },
  { ...onFront, name: "headers", plan: headers },
  {
    ...onFront,
    listener: "ready",
    ordinary: probe,
    name: "headers",
    plan: headers,
  },
  {
    ...onFront,
    listener: "metrics",
    ordinary: probe,
    name: "headers",
    plan: headers,
  },
  {
    ...onControl,
    name: "bodies in chunks of a byte",
    plan: unfinishedBody.byteChunks(24, heartbeatPath),
  },
  {
    ...onControl,
    name: "bodies in large chunks",
    plan: unfinishedBody.largeChunks(600, heartbeatPath),
  },
  {
    ...onControl,
    name: "bodies a byte short of their length",
    plan: unfinishedBody.withLength(600, heartbeatPath),
  },
  { ...onControl, name: "headers", plan: headers },
]);
