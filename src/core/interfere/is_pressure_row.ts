import { isListOf } from "../check/is_list_of.ts";
import { isRecord } from "../check/is_record.ts";
import type { PressureRow } from "./pressure_row.ts";

/** Whether a stored value has the shape of a `PressureRow`. */
export function isPressureRow(value: unknown): value is PressureRow {
  if (!isRecord(value)) return false;
  const { fillers, services, loads } = value;
  return isListOf(fillers, isText) && isListOf(services, isService) &&
    isListOf(loads, isLoad);
}

function isService(value: unknown): boolean {
  if (!Array.isArray(value)) return false;
  const [image, floor, pressures, variances] = value;
  return isText(image) && isNumber(floor) && isListOf(pressures, isNumber) &&
    isListOf(variances, isNumber);
}

function isLoad(value: unknown): boolean {
  return Array.isArray(value) && isText(value[0]) && isNumber(value[1]);
}

function isText(value: unknown): boolean {
  return typeof value === "string";
}

function isNumber(value: unknown): boolean {
  return typeof value === "number";
}
