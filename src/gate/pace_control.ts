/** A service above this part of its target makes fillers give way. */
const giveWayFrom = 0.85;
/** Below this part of its target a service lets fillers speed up. */
const speedUpBelow = 0.6;
const leastPercent = 0;
const giveWayFactor = 0.5;
const speedUpPercent = 15;
/** From here fillers stop altogether rather than crawl. */
const stopBelowPercent = 12;

/**
 * How fast a worker's fillers may run beside its services: falls by halves
 * while a service nears its target, rises by steps while all are at ease.
 */
export class PaceControl {
  percent = 100;

  /** Takes the worst latency as a part of its target; gives the new pace. */
  observe(worstPart: number): number {
    if (worstPart > giveWayFrom) {
      const over = worstPart > 1
        ? giveWayFactor * giveWayFactor
        : giveWayFactor;
      const next = this.percent * over;
      this.percent = next < stopBelowPercent ? leastPercent : Math.round(next);
    } else if (worstPart < speedUpBelow) {
      this.percent = Math.min(100, this.percent + speedUpPercent);
    }
    return this.percent;
  }
}
