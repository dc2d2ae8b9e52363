import { interferenceOptionsFor } from "../../src/core/interfere/interference_options_for.ts";
import type { JobId } from "../../src/schema/job_id.ts";
import type { SimPeer } from "../world/sim_peer.ts";
import type { SimWorker } from "../world/sim_worker.ts";
import type { Action } from "./action.ts";
import type { World } from "../world/world.ts";
import { jobFrom } from "./job_from.ts";
import { parseDuration } from "./parse_duration.ts";
import type { Statement } from "./statement.ts";

const target = (world: World, name: string): SimPeer | SimWorker => {
  const found = name === "keeper"
    ? world.keeper
    : world.peers.get(name) ?? world.workers.get(name);
  if (found === undefined) throw new Error(`nothing is called '${name}'`);
  return found;
};

const nameOf = (world: World, name: string): string =>
  name === "log" || name === "entry" ? name : target(world, name).id;

const word = ({ words }: Statement, index: number): string => {
  const found = words[index];
  if (found === undefined) throw new Error(`'${words[0]}' needs more words`);
  return found;
};

const inRack = (world: World, rack: string): SimWorker[] =>
  [...world.workers.values()].filter(({ labels }) => labels.rack === rack);

/** The verbs of the scenario language. */
export const actions: Readonly<Record<string, Action>> = {
  submit: (world, statement) =>
    world.submit(jobFrom(word(statement, 1), statement)),
  burst: (world, statement) => {
    const count = Number(statement.args.get("count") ?? 10);
    for (let n = 1; n <= count; n++) {
      world.submit(jobFrom(`${word(statement, 1)}${n}`, statement));
    }
  },
  cancel: (world, statement) => world.cancel(word(statement, 1) as JobId),
  kill: (world, statement) => {
    target(world, word(statement, 1)).isAlive = false;
  },
  restart: (world, statement) => target(world, word(statement, 1)).restart(),
  pause: (world, statement) => {
    target(world, word(statement, 1)).isPaused = true;
  },
  resume: (world, statement) => {
    const found = target(world, word(statement, 1));
    if ("resume" in found) found.resume();
    else found.isPaused = false;
  },
  "kill-rack": (world, statement) => {
    for (const worker of inRack(world, word(statement, 1))) {
      worker.isAlive = false;
    }
  },
  "restart-rack": (world, statement) => {
    for (const worker of inRack(world, word(statement, 1))) worker.restart();
  },
  cut: (world, statement) =>
    world.network.cut(
      nameOf(world, word(statement, 1)),
      nameOf(world, word(statement, 2)),
    ),
  "keep-only": (world, statement) => {
    const worker = nameOf(world, word(statement, 1));
    const kept = nameOf(world, word(statement, 2));
    for (const peer of world.peers.keys()) {
      if (peer !== kept) world.network.cut(peer, worker);
    }
  },
  heal: (world, statement) => {
    if (statement.words[1] === "all") world.network.healAll();
    else {
      world.network.heal(
        nameOf(world, word(statement, 1)),
        nameOf(world, word(statement, 2)),
      );
    }
  },
  log: (world, statement) => {
    const { model } = world.log;
    const what = word(statement, 1);
    if (what === "down") model.isDown = true;
    else if (what === "up") model.isDown = false;
    else if (what === "lose") model.answersToLose = Number(word(statement, 2));
    else if (what === "retain") {
      model.retentionMs = parseDuration(word(statement, 2));
    } else throw new Error(`the log cannot '${what}'`);
  },
  service: (world, { args }) => {
    const name = args.get("name") ?? "menu";
    const baseMs = parseDuration(args.get("base") ?? "5ms");
    for (const id of (args.get("on") ?? "").split(",")) {
      const found = target(world, id);
      if ("model" in found) found.service = { name, baseMs };
    }
  },
  noise: (world, { args }) => {
    const slowdown = Number(args.get("slowdown") ?? 1);
    world.services.slowdowns.set(args.get("template") ?? "", slowdown);
  },
  policy: (world, { args }) => {
    const options = interferenceOptionsFor(
      Number(args.get("latency") ?? 1),
      Number(args.get("eviction") ?? 0),
    );
    for (const { keeper } of world.peers.values()) {
      keeper.office.interference.options = options;
    }
  },
  network: (world, { args }) => {
    world.network.lossRatio = Number(args.get("loss") ?? 0);
    world.network.delayMs = parseDuration(args.get("delay") ?? "1ms");
  },
  "fail-all": (world, statement) => {
    const found = target(world, word(statement, 1));
    if ("model" in found) found.model.failsEverything = true;
  },
  mend: (world, statement) => {
    const found = target(world, word(statement, 1));
    if ("model" in found) found.model.failsEverything = false;
  },
};
