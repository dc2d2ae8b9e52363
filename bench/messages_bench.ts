import { create, toBinary } from "@bufbuild/protobuf";
import { ConfigState } from "../src/core/config/config_state.ts";
import { configurationItems } from "../src/core/config/configuration_items.ts";
import type { PeerInfo } from "../src/core/members/peer_info.ts";
import {
  AnnounceReplySchema,
  AnnounceRequestSchema,
  KeepAliveRequestSchema,
} from "../src/rpc/gen/gypsumpond/v1/peer_pb.ts";
import { peerToMessage } from "../src/rpc/peer_to_message.ts";
import { Configuration } from "../src/schema/configuration.ts";
import { loadFile } from "../src/settings/load_file.ts";

const example = "examples/seniors_lunch.jsonc";

/** A sidecar with ids, names and ports of realistic length. */
const sidecar = {
  id: "sidecar-12345",
  incarnation: "mx80x8ga-26c0c1",
  startedAtMs: 1_796_330_707_210,
  role: "sidecar",
  dataCentre: "lagos-1",
  rack: "rack-12",
  endpoint: { host: "10.120.130.140", port: 7_001 },
  state: "ready",
  configRevision: 11_000,
  cell: "lagos-1-042",
  runner: {
    service: "menu",
    inFlight: 3,
    queued: 0,
    limit: 8,
    slots: 8,
    latencyMs: 5.1,
  },
  worker: {
    id: "worker-12345",
    endpoint: { host: "10.120.130.140", port: 7_100 },
    labels: {
      owner: "yaba-club",
      trade: "catering",
      rack: "rack-12",
      dataCentre: "lagos-1",
      worker: "worker-12345",
    },
  },
} as unknown as PeerInfo;

/** Prints the sizes of the messages that processes exchange. */
function main(): void {
  const self = peerToMessage(sidecar);
  const request = toBinary(
    AnnounceRequestSchema,
    create(AnnounceRequestSchema, { self, knownVersion: 1_000n }),
  );
  const unchanged = toBinary(
    AnnounceReplySchema,
    create(AnnounceReplySchema, { self, version: 1_000n, unchanged: true }),
  );
  const replyBytes = (peers: number): number =>
    toBinary(
      AnnounceReplySchema,
      create(AnnounceReplySchema, { self, peers: Array(peers).fill(self) }),
    ).length;
  const keepAlive = toBinary(
    KeepAliveRequestSchema,
    create(KeepAliveRequestSchema, {
      cell: "lagos-1-042",
      epoch: 77,
      keeper: "sidecar-12345",
    }),
  );
  const state = new ConfigState();
  const puts = [
    ...configurationItems(
      loadFile(example, Configuration, "bad_configuration"),
    ),
  ];
  state.apply({
    kind: "published",
    id: "x",
    by: "ada",
    atMs: 0,
    basedOn: -1,
    puts,
    removes: [],
  }, 0);
  const imageBytes = JSON.stringify(state.image(1)).length;
  console.log(
    [
      `announceRequestBytes=${request.length}`,
      `announceUnchangedBytes=${unchanged.length}`,
      `announceBytesPerListedPeer=${(replyBytes(101) - replyBytes(1)) / 100}`,
      `keepAliveBytes=${keepAlive.length}`,
      `configItems=${puts.length}`,
      `configBytesPerItem=${(imageBytes / puts.length).toFixed(0)}`,
    ].join(" "),
  );
}

main();
