import { expect } from "chai";
import { createMachine, getNextSnapshot } from "xstate";
import { StateChart } from "../src/core/chart/state_chart.ts";
import type { StateChartDefinition } from "../src/core/chart/state_chart_definition.ts";
import taskLife from "../src/core/fold/task_life.json" with { type: "json" };
import disturbanceLife from "../src/core/interfere/disturbance_life.json" with {
  type: "json",
};
import keeperLife from "../src/core/keep/keeper_life.json" with {
  type: "json",
};

const chartFiles: readonly StateChartDefinition[] = [
  taskLife,
  keeperLife,
  disturbanceLife,
];

describe("state charts", () => {
  for (const file of chartFiles) {
    it(`${file.id} has the same transitions in XState`, () => {
      const chart = new StateChart(file);
      const machine = createMachine(file as never);
      const events = new Set(
        Object.values(file.states).flatMap(({ on }) => Object.keys(on ?? {})),
      );
      for (const state of Object.keys(file.states)) {
        for (const type of events) {
          const from = machine.resolveState({ value: state } as never);
          const to = getNextSnapshot(machine, from, { type } as never);
          expect(chart.next(state, type) ?? state).to.equal(to.value);
        }
      }
    });
  }

  const invalidFiles: [string, StateChartDefinition][] = [
    ["no initial state", { id: "x", initial: "a", states: {} }],
    ["no state b", {
      id: "x",
      initial: "a",
      states: { a: { on: { E: "b" } } },
    }],
  ];
  for (const [message, file] of invalidFiles) {
    it(`rejects a file: ${message}`, () => {
      expect(() => new StateChart(file)).to.throw(message);
    });
  }
});
