import { compareUrgency } from "./compare_urgency.ts";
import type { GroupOrder } from "./group_order.ts";
import type { Urgency } from "./urgency.ts";

/** Places the most urgent group first, whoever submitted it. */
export class UrgencyOrder implements GroupOrder {
  readonly comparesAll = false;

  sort(waiting: Urgency[]): readonly Urgency[] {
    return waiting.sort(compareUrgency);
  }
}
