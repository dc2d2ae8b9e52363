import { measures } from "./measures.ts";
import { actions } from "./actions.ts";
import { parseDuration } from "./parse_duration.ts";
import { parseStatements } from "./parse_statements.ts";
import { ScenarioError } from "./scenario_error.ts";
import type { Statement } from "./statement.ts";
import { World } from "../world/world.ts";
import type { WorldOptions } from "../world/world_options.ts";

const comparisons: Readonly<
  Record<string, (a: number, b: number) => boolean>
> = {
  "=": (a, b) => a === b,
  "<=": (a, b) => a <= b,
  ">=": (a, b) => a >= b,
};

/** Runs a scenario on virtual time; throws where it does not hold. */
export function runScenario(file: string, text: string): World {
  let world: World | undefined;
  for (const statement of parseStatements(text)) {
    try {
      if (statement.words[0] === "cell") {
        world = new World(optionsOf(statement));
      } else if (world === undefined) throw new Error("expected 'cell' first");
      else runStatement(world, statement);
    } catch (cause) {
      const text = cause instanceof Error ? cause.message : String(cause);
      throw new ScenarioError(file, statement.line, text);
    }
  }
  if (world === undefined) throw new ScenarioError(file, 1, "no cell");
  return world;
}

function optionsOf({ args }: Statement): WorldOptions {
  const number = (key: string, otherwise: number): number =>
    Number(args.get(key) ?? otherwise);
  return {
    seed: number("seed", 1),
    workers: number("workers", 10),
    peers: number("peers", 4),
    cores: number("cores", 16),
    memoryGb: number("memory", 60),
    accelerators: number("accelerators", 0),
    racks: number("racks", 4),
    placer: (args.get("placer") ?? "spread-fit") as WorldOptions["placer"],
    tickMs: number("tick-ms", 100),
    recordsPerSnapshot: number("snapshot-records", 10_000),
    claimsPerSecond: number("claims-per-second", 40),
  };
}

function runStatement(world: World, statement: Statement): void {
  const [first, second, ...rest] = statement.words;
  if (first === "at" && second !== undefined) {
    world.runUntil(parseDuration(second));
    runAction(world, { ...statement, words: rest });
  } else if (first === "until" && second !== undefined) {
    world.runUntil(parseDuration(second));
  } else if (first === "expect") {
    expectFigure(world, statement);
  } else {
    throw new Error(`expected 'at', 'until' or 'expect', got '${first}'`);
  }
}

function runAction(world: World, statement: Statement): void {
  const action = actions[statement.words[0] ?? ""];
  if (action === undefined) {
    throw new Error(`no verb '${statement.words[0]}'`);
  }
  action(world, statement);
}

function expectFigure(world: World, { words }: Statement): void {
  const [, name, ...rest] = words;
  const bound = rest.at(-1);
  const sign = rest.at(-2);
  const measure = measures[name ?? ""];
  const compare = comparisons[sign ?? ""];
  if (measure === undefined) throw new Error(`no figure '${name}'`);
  if (compare === undefined || bound === undefined) {
    throw new Error("expected '=', '<=' or '>=' and a bound");
  }
  const about = rest.length === 3 ? rest[0] ?? "" : "all";
  const value = measure(world, about);
  const wanted = /^[\d.]+$/.test(bound) ? Number(bound) : parseDuration(bound);
  if (compare(value, wanted)) return;
  const notes = world.notes.slice(-10).join("\n");
  throw new Error(`${name} is ${value}, expected ${sign} ${bound}\n${notes}`);
}
