import loglevel from "loglevel";

/** Lines a second; more are dropped and counted, so that logs stay cheap. */
const budgetPerS = 500;
/** A reader that leaves so much unread gets no more until it reads. */
const mostUnreadBytes = 1_000_000;
const secondMs = 1_000;

const budget = { fromMs: 0, lines: 0, dropped: 0 };

function write(line: string): void {
  const nowMs = performance.now();
  if (nowMs - budget.fromMs >= secondMs) {
    budget.fromMs = nowMs;
    budget.lines = 0;
  }
  const isFull = process.stdout.writableLength > mostUnreadBytes;
  if (isFull || budget.lines >= budgetPerS) {
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

/** Writes one line of key=value pairs for each event. */
export class Logger {
  readonly #log = loglevel.getLogger("gypsumpond");

  constructor(level: loglevel.LogLevelDesc, readonly base: Fields) {
    this.#log.methodFactory = () => (line: string) => {
      write(line);
    };
    this.#log.setLevel(level, false);
  }

  /** Something that helps to follow what happens. */
  debug(event: string, fields: Fields = {}): void {
    this.#log.debug(this.#line("debug", event, fields));
  }

  /** Something that is worth knowing. */
  info(event: string, fields: Fields = {}): void {
    this.#log.info(this.#line("info", event, fields));
  }

  /** Something that is amiss but handled. */
  warn(event: string, fields: Fields = {}): void {
    this.#log.warn(this.#line("warn", event, fields));
  }

  /** Something that needs a person. */
  error(event: string, fields: Fields = {}): void {
    this.#log.error(this.#line("error", event, fields));
  }

  #line(level: string, event: string, fields: Fields): string {
    const at = new Date().toISOString();
    const all = { at, level, event, ...this.base, ...fields };
    return Object.entries(all)
      .filter(([, value]) => value !== undefined)
      .map(([key, value]) => `${key}=${quoted(String(value))}`)
      .join(" ");
  }
}

function quoted(value: string): string {
  return /^[^\s"=]+$/.test(value) ? value : JSON.stringify(value);
}
