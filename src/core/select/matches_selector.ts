import type { Labels } from "../../schema/labels.ts";
import type { Selector } from "../../schema/selector.ts";

/** Whether the labels match all terms of the selector. */
export function matchesSelector(selector: Selector, labels: Labels): boolean {
  return selector.every((term) => {
    const value = labels[term.label];
    if ("in" in term) return value !== undefined && term.in.includes(value);
    if ("notIn" in term) {
      return value === undefined || !term.notIn.includes(value);
    }
    return (value !== undefined) === term.exists;
  });
}
