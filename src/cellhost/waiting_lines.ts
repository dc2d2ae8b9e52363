import type { Logger } from "../adapters/logger.ts";
import type { Task } from "../core/cell/task.ts";
import { groupBy } from "./group_by.ts";
import type { Wait } from "./wait.ts";

/** A wait is logged again after this, also if its reason is the same. */
const repeatMs = 5_000;
/** Most lines at a time about services, and about other tasks. */
const maxServiceLines = 5;
const maxOtherLines = 2;
/** Most tasks that a line names. */
const maxNamed = 20;

/**
 * Logs waits, a bounded number of lines at a time. Tasks of a group that wait
 * for the same reason share a line; what finds no place is logged next time.
 */
export class WaitingLines {
  /** Logged waits that are over, and when. */
  readonly #ended: { readonly wait: Wait; readonly atMs: number }[] = [];

  constructor(readonly log: Logger) {}

  /** Logs the waits that are due, those that were never logged first. */
  logWaits(waits: Iterable<Wait>, nowMs: number): void {
    const due = [...waits].filter((wait) => isDue(wait, nowMs))
      .sort((a, b) => loggedAtMs(a) - loggedAtMs(b) || a.sinceMs - b.sinceMs);
    const services = due.filter(isService);
    const others = due.filter((wait) => !isService(wait));
    this.#logGroups(services, maxServiceLines, nowMs);
    this.#logGroups(others, maxOtherLines, nowMs);
  }

  /** Notes that a wait is over since its task runs. */
  end(wait: Wait, atMs: number): void {
    if (wait.logged !== undefined) this.#ended.push({ wait, atMs });
  }

  /** Logs the ends of waits that were logged. */
  logEnds(): void {
    const groups = groupBy(this.#ended, ({ wait }) => wait.task.group);
    let lines = 0;
    const left = new Set(this.#ended);
    for (const ended of groups.values()) {
      for (const some of chunksOf(ended, maxNamed)) {
        if (lines++ >= maxServiceLines) break;
        for (const each of some) left.delete(each);
        const [{ wait, atMs }] = some as [typeof some[number]];
        const { task, sinceMs, explanation } = wait;
        this.log.info("task_runs_again", {
          task: task.name,
          run: task.run,
          worker: task.claim?.node,
          waited_ms: Math.round(atMs - sinceMs),
          reason: explanation?.reason,
          tasks: some.length > 1 ? some.length : undefined,
          others: textOf(
            some.slice(1).map((each) => nameOf(each.wait, each.atMs)),
          ),
        });
      }
    }
    this.#ended.splice(0, Infinity, ...left);
  }

  #logGroups(due: readonly Wait[], most: number, nowMs: number): void {
    let lines = 0;
    const groups = groupBy(due, ({ task }) => task.group);
    for (const waits of groups.values()) {
      for (const alike of groupBy(waits, keyOf).values()) {
        for (const some of chunksOf(alike, maxNamed)) {
          if (lines++ >= most) return;
          this.#log(some, nowMs);
        }
      }
    }
  }

  #log(waits: readonly Wait[], nowMs: number): void {
    const [first] = waits as [Wait];
    const { task, sinceMs, explanation, explainedAtMs, isOfGroup } = first;
    const { group, lastRunEnd: end } = task;
    const named = isOfGroup
      ? first.others.map(idOf)
      : waits.slice(1).map((wait) => nameOf(wait, nowMs));
    const count = isOfGroup
      ? group.unfinishedCount - group.claimCount
      : waits.length;
    this.log.info("task_waits", {
      task: task.name,
      run: task.run,
      last_outcome: end?.outcome,
      last_worker: end?.node,
      last_end_age_ms: end && Math.round(nowMs - end.atMs),
      waited_ms: Math.round(nowMs - sinceMs),
      reason: explanation?.reason,
      worker: explanation?.worker,
      ...explanation?.inputs,
      explained_age_ms: Math.round(nowMs - explainedAtMs),
      tasks: count > 1 ? count : undefined,
      others: textOf(named),
    });
    for (const wait of waits) {
      wait.logged = { key: keyOf(wait), atMs: nowMs };
    }
  }
}

/** Names a task so that `grep task=ID` finds it. */
function idOf({ name, run }: Task): string {
  return `task=${name} run=${run}`;
}

/** Names a task with what differs among the tasks of a line. */
function nameOf({ task, sinceMs }: Wait, nowMs: number): string {
  const { lastRunEnd: end } = task;
  const waited = `${idOf(task)} waited_ms=${Math.round(nowMs - sinceMs)}`;
  if (end === undefined) return waited;
  return `${waited} last_outcome=${end.outcome} last_worker=${end.node}`;
}

function textOf(names: readonly string[]): string | undefined {
  return names.length === 0 ? undefined : names.join(" ");
}

function keyOf({ explanation }: Wait): string {
  return `${explanation?.reason} ${explanation?.worker ?? ""}`;
}

function isDue(wait: Wait, nowMs: number): boolean {
  const { explanation, logged } = wait;
  if (explanation === undefined) return false;
  return logged === undefined || logged.key !== keyOf(wait) ||
    nowMs - logged.atMs >= repeatMs;
}

function isService({ task }: Wait): boolean {
  return task.group.definition.isService;
}

function loggedAtMs({ logged }: Wait): number {
  return logged?.atMs ?? -Infinity;
}

function* chunksOf<T>(
  items: readonly T[],
  size: number,
): Generator<readonly T[], void> {
  for (let from = 0; from < items.length; from += size) {
    yield items.slice(from, from + size);
  }
}
