import { expect } from "chai";
import { parseSettings } from "../platform/parse_settings.ts";

const required = [
  "node=n",
  "ip=127.0.0.1",
  "internalPorts=1,2",
  "platform.address=127.0.0.1:1",
];
const mb = 1_048_576;

describe("the limits on requests follow from those of the process", () => {
  const cases = [
    {
      name: "an entry of the site",
      lines: ["limits.memoryMb=350", "limits.maxFds=4100"],
      limits: { heldBytes: 350 / 16 * mb, connections: 1_950 },
    },
    {
      name: "a small process: some of the greatest bodies still fit",
      lines: ["limits.memoryMb=20", "limits.maxFds=300"],
      limits: { heldBytes: 4 * mb, connections: 50 },
    },
    {
      name: "limits that are set",
      lines: ["requests.heldBytes=1000", "requests.connections=7"],
      limits: { heldBytes: 1_000, connections: 7 },
    },
    {
      name: "none given",
      lines: [],
      limits: { heldBytes: 16 * mb, connections: 512 },
    },
  ];
  for (const { name, lines, limits } of cases) {
    it(name, () => {
      const text = [...required, ...lines].join("\n");
      expect(parseSettings(text).requestLimits).to.eql(limits);
    });
  }
});
