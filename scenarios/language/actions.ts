import { interferenceOptionsFor } from "../../src/core/interfere/interference_options_for.ts";
import type { JobId } from "../../src/schema/job_id.ts";
import type { SimPeer } from "../world/sim_peer.ts";
import type { SimWorker } from "../world/sim_worker.ts";
import type { Action } from "./action.ts";
import type { CellSimulation } from "../world/cell_simulation.ts";
import { buildJob } from "./build_job.ts";
import { parseDuration } from "./parse_duration.ts";
import type { Statement } from "./statement.ts";

/** The peer or worker of the name; "keeper" is the present keeper. */
const findTarget = (
  simulation: CellSimulation,
  name: string,
): SimPeer | SimWorker => {
  const found = name === "keeper"
    ? simulation.keeper
    : simulation.peers.get(name) ?? simulation.workers.get(name);
  if (found === undefined) throw new Error(`no peer or worker '${name}'`);
  return found;
};

/** The name under which a party sends messages over the network. */
const partyName = (simulation: CellSimulation, name: string): string =>
  name === "log" || name === "entry" ? name : findTarget(simulation, name).id;

const word = ({ words }: Statement, index: number): string => {
  const found = words[index];
  if (found === undefined) throw new Error(`'${words[0]}' expects more words`);
  return found;
};

const workersInRack = (simulation: CellSimulation, rack: string): SimWorker[] =>
  [...simulation.workers.values()].filter(({ labels }) => labels.rack === rack);

/** The verbs of `at` statements. */
export const actions: Readonly<Record<string, Action>> = {
  submit: (simulation, statement) =>
    simulation.submit(buildJob(word(statement, 1), statement)),
  burst: (simulation, statement) => {
    const count = Number(statement.args.get("count") ?? 10);
    for (let n = 1; n <= count; n++) {
      simulation.submit(buildJob(`${word(statement, 1)}${n}`, statement));
    }
  },
  cancel: (simulation, statement) =>
    simulation.cancel(word(statement, 1) as JobId),
  kill: (simulation, statement) => {
    findTarget(simulation, word(statement, 1)).isAlive = false;
  },
  restart: (simulation, statement) =>
    findTarget(simulation, word(statement, 1)).restart(),
  pause: (simulation, statement) => {
    findTarget(simulation, word(statement, 1)).isPaused = true;
  },
  resume: (simulation, statement) => {
    const found = findTarget(simulation, word(statement, 1));
    if ("resume" in found) found.resume();
    else found.isPaused = false;
  },
  "kill-rack": (simulation, statement) => {
    for (const worker of workersInRack(simulation, word(statement, 1))) {
      worker.isAlive = false;
    }
  },
  "restart-rack": (simulation, statement) => {
    for (
      const worker of workersInRack(simulation, word(statement, 1))
    ) worker.restart();
  },
  cut: (simulation, statement) =>
    simulation.network.cut(
      partyName(simulation, word(statement, 1)),
      partyName(simulation, word(statement, 2)),
    ),
  /** Cuts a worker off from every peer but one. */
  "keep-only": (simulation, statement) => {
    const worker = partyName(simulation, word(statement, 1));
    const remaining = partyName(simulation, word(statement, 2));
    for (const peer of simulation.peers.keys()) {
      if (peer !== remaining) simulation.network.cut(peer, worker);
    }
  },
  heal: (simulation, statement) => {
    if (statement.words[1] === "all") simulation.network.healAll();
    else {
      simulation.network.heal(
        partyName(simulation, word(statement, 1)),
        partyName(simulation, word(statement, 2)),
      );
    }
  },
  log: (simulation, statement) => {
    const { model } = simulation.log;
    const kind = word(statement, 1);
    if (kind === "down") model.isDown = true;
    else if (kind === "up") model.isDown = false;
    else if (kind === "lose") model.answersToLose = Number(word(statement, 2));
    else if (kind === "retain") {
      model.retentionMs = parseDuration(word(statement, 2));
    } else throw new Error(`unknown log action '${kind}'`);
  },
  /** Runs a service beside the workers of `on`. */
  service: (simulation, { args }) => {
    const name = args.get("name") ?? "menu";
    const baseMs = parseDuration(args.get("base") ?? "5ms");
    for (const id of (args.get("on") ?? "").split(",")) {
      const found = findTarget(simulation, id);
      if ("model" in found) found.service = { name, baseLatencyMs: baseMs };
    }
  },
  /** Sets by which factor a template slows the services beside it. */
  noise: (simulation, { args }) => {
    const slowdown = Number(args.get("slowdown") ?? 1);
    simulation.serviceMeter.slowdownByTemplate.set(
      args.get("template") ?? "",
      slowdown,
    );
  },
  policy: (simulation, { args }) => {
    const options = interferenceOptionsFor(
      Number(args.get("latency") ?? 1),
      Number(args.get("eviction") ?? 0),
    );
    for (const { keeper } of simulation.peers.values()) {
      keeper.coordinator.interference.options = options;
    }
  },
  network: (simulation, { args }) => {
    simulation.network.lossRatio = Number(args.get("loss") ?? 0);
    simulation.network.delayMs = parseDuration(args.get("delay") ?? "1ms");
  },
  "fail-all": (simulation, statement) => {
    const found = findTarget(simulation, word(statement, 1));
    if ("model" in found) found.model.failsEverything = true;
  },
  mend: (simulation, statement) => {
    const found = findTarget(simulation, word(statement, 1));
    if ("model" in found) found.model.failsEverything = false;
  },
};
