import { Logger } from "../src/adapters/logger.ts";

type Fields = Parameters<Logger["info"]>[1];

/** A logger that keeps its lines, as `event key=value ...`. */
export class LineLog extends Logger {
  readonly lines: string[] = [];

  constructor() {
    super("silent", {});
  }

  override info(event: string, fields: Fields = {}): void {
    this.#add(event, fields);
  }

  override warn(event: string, fields: Fields = {}): void {
    this.#add(event, fields);
  }

  override error(event: string, fields: Fields = {}): void {
    this.#add(event, fields);
  }

  /** The lines of an event. */
  of(event: string): string[] {
    return this.lines.filter((line) => line.startsWith(`${event} `));
  }

  #add(event: string, fields: Fields = {}): void {
    const pairs = Object.entries(fields)
      .filter(([, value]) => value !== undefined)
      .map(([key, value]) => `${key}=${value}`);
    this.lines.push([event, ...pairs].join(" "));
  }
}
