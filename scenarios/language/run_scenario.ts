import { measures } from "./measures.ts";
import { actions } from "./actions.ts";
import { parseDuration } from "./parse_duration.ts";
import { parseStatements } from "./parse_statements.ts";
import { ScenarioError } from "./scenario_error.ts";
import type { Statement } from "./statement.ts";
import { CellSimulation } from "../world/cell_simulation.ts";
import type { CellSimulationOptions } from "../world/cell_simulation_options.ts";

const comparisons: Readonly<
  Record<string, (actual: number, bound: number) => boolean>
> = {
  "=": (actual, bound) => actual === bound,
  "<=": (actual, bound) => actual <= bound,
  ">=": (actual, bound) => actual >= bound,
};

/** Runs a scenario on virtual time; throws at the first line that fails. */
export function runScenario(file: string, text: string): CellSimulation {
  let simulation: CellSimulation | undefined;
  for (const statement of parseStatements(text)) {
    try {
      if (statement.words[0] === "cell") {
        simulation = new CellSimulation(parseOptions(statement));
      } else if (simulation === undefined) throw new Error("expected 'cell'");
      else runStatement(simulation, statement);
    } catch (cause) {
      const text = cause instanceof Error ? cause.message : String(cause);
      throw new ScenarioError(file, statement.line, text);
    }
  }
  if (simulation === undefined) throw new ScenarioError(file, 1, "no 'cell'");
  return simulation;
}

function parseOptions({ args }: Statement): CellSimulationOptions {
  const number = (key: string, defaultValue: number): number =>
    Number(args.get(key) ?? defaultValue);
  return {
    seed: number("seed", 1),
    workers: number("workers", 10),
    peers: number("peers", 4),
    cores: number("cores", 16),
    memoryGb: number("memory", 60),
    accelerators: number("accelerators", 0),
    racks: number("racks", 4),
    placer:
      (args.get("placer") ?? "spread-fit") as CellSimulationOptions["placer"],
    tickMs: number("tick-ms", 100),
    recordsPerSnapshot: number("snapshot-records", 10_000),
    claimsPerSecond: number("claims-per-second", 40),
  };
}

function runStatement(simulation: CellSimulation, statement: Statement): void {
  const [first, second, ...rest] = statement.words;
  if (first === "at" && second !== undefined) {
    simulation.runUntil(parseDuration(second));
    runAction(simulation, { ...statement, words: rest });
  } else if (first === "until" && second !== undefined) {
    simulation.runUntil(parseDuration(second));
  } else if (first === "expect") {
    checkExpectation(simulation, statement);
  } else {
    throw new Error(`expected 'at', 'until' or 'expect', got '${first}'`);
  }
}

function runAction(simulation: CellSimulation, statement: Statement): void {
  const action = actions[statement.words[0] ?? ""];
  if (action === undefined) {
    throw new Error(`no verb '${statement.words[0]}'`);
  }
  action(simulation, statement);
}

function checkExpectation(
  simulation: CellSimulation,
  { words }: Statement,
): void {
  const [, name, ...rest] = words;
  const bound = rest.at(-1);
  const operator = rest.at(-2);
  const measure = measures[name ?? ""];
  const compare = comparisons[operator ?? ""];
  if (measure === undefined) throw new Error(`no measure '${name}'`);
  if (compare === undefined || bound === undefined) {
    throw new Error("expected '=', '<=' or '>=' and a bound");
  }
  const subject = rest.length === 3 ? rest[0] ?? "" : "all";
  const actual = measure(simulation, subject);
  const expected = /^[\d.]+$/.test(bound)
    ? Number(bound)
    : parseDuration(bound);
  if (compare(actual, expected)) return;
  const notes = simulation.traceLines.slice(-10).join("\n");
  throw new Error(
    `${name} is ${actual}, expected ${operator} ${bound}\n${notes}`,
  );
}
