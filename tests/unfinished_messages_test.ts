import { describeCrowds } from "./crowd/describe_crowds.ts";
import { ordinaryRequest } from "./crowd/ordinary_request.ts";

const lineBytes = 8_000_000;
const line = Buffer.alloc(lineBytes, " ");
const plans = [
  { name: "first messages without an end", parts: () => [line] },
  {
    name: "messages without an end, after a hello",
    parts: () => [`{"kind":"hello","epoch":0,"keeper":"none"}\n`, line],
  },
];

describeCrowds(
  "lines to the port for keepers are bounded",
  (["entry", "sidecar"] as const).flatMap((role) =>
    plans.map(({ name, parts }) => ({
      role,
      listener: "peers" as const,
      ordinary: ordinaryRequest.hello,
      name,
      plan: { clients: 40, parts },
    }))
  ),
);
