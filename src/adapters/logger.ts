import loglevel from "loglevel";

/** Lines over this rate are dropped and counted, to bound the cost of logs. */
const maxLinesPerS = 500;
/** Lines are dropped while the reader of stdout is this far behind. */
const maxUnreadBytes = 1_000_000;
const secondMs = 1_000;

/** The current second's start and lines, and dropped lines not yet reported. */
const budget = { secondStartMs: 0, lines: 0, dropped: 0 };

/** Writes a line to stdout within the budget. */
function write(line: string): void {
  const nowMs = performance.now();
  if (nowMs - budget.secondStartMs >= secondMs) {
    budget.secondStartMs = nowMs;
    budget.lines = 0;
  }
  const isReaderBehind = process.stdout.writableLength > maxUnreadBytes;
  if (isReaderBehind || budget.lines >= maxLinesPerS) {
    budget.dropped += 1;
    return;
  }
  budget.lines += 1;
  if (budget.dropped > 0) {
    process.stdout.write(
      `level=warn event=log_dropped lines=${budget.dropped}\n`,
    );
    budget.dropped = 0;
  }
  process.stdout.write(`${line}\n`);
}

type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes each event to stdout as a line of key=value pairs. */
export class Logger {
  readonly #log = loglevel.getLogger("gypsumpond");

  constructor(level: loglevel.LogLevelDesc, readonly baseFields: Fields) {
    this.#log.methodFactory = () => (line: string) => {
      write(line);
    };
    this.#log.setLevel(level, false);
  }

  /** Logs a detail for debugging. */
  debug(event: string, fields: Fields = {}): void {
    this.#log.debug(this.#format("debug", event, fields));
  }

  /** Logs a normal event. */
  info(event: string, fields: Fields = {}): void {
    this.#log.info(this.#format("info", event, fields));
  }

  /** Logs a problem that the process handles by itself. */
  warn(event: string, fields: Fields = {}): void {
    this.#log.warn(this.#format("warn", event, fields));
  }

  /** Logs a problem that needs an operator. */
  error(event: string, fields: Fields = {}): void {
    this.#log.error(this.#format("error", event, fields));
  }

  #format(level: string, event: string, fields: Fields): string {
    const at = new Date().toISOString();
    const pairs = { at, level, event, ...this.baseFields, ...fields };
    return Object.entries(pairs)
      .filter(([, value]) => value !== undefined)
      .map(([key, value]) => `${key}=${quoteIfNeeded(String(value))}`)
      .join(" ");
  }
}

function quoteIfNeeded(value: string): string {
  return /^[^\s"=]+$/.test(value) ? value : JSON.stringify(value);
}
