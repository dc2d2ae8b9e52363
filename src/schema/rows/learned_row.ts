import * as v from "valibot";

/** Products of several such figures are still numbers. */
const maxFigure = 1e6;
const Figure = v.pipe(
  v.number(),
  v.minValue(-maxFigure),
  v.maxValue(maxFigure),
);

/** The row of what keepers have learned of interference: a `PressureRow`. */
export const LearnedRow = v.object({
  fillers: v.array(v.string()),
  services: v.array(
    v.tuple([v.string(), Figure, v.array(Figure), v.array(Figure)]),
  ),
  loads: v.array(v.tuple([v.string(), Figure])),
});
