// A runner of a deployment: a process for each of its lives.
import { fork } from "node:child_process";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const program = join(
  dirname(fileURLToPath(import.meta.url)),
  "runner_main.mjs",
);

export class Runner {
  #child;
  /** Called after a life has ended. */
  onLost = () => {};
  /** The runs that the present life has, by task. */
  #running = new Map();

  constructor(options, onEvent) {
    this.options = options;
    this.name = options.name;
    this.onEvent = onEvent;
  }

  /** Begins a life under the runner's id, at its address. */
  async start() {
    const child = fork(program, [JSON.stringify(this.options)], {
      execArgv: [],
    });
    this.#child = child;
    child.on("error", () => {
      // Its end is noticed by "exit".
    });
    await new Promise((done, fail) => {
      child.once("exit", (code) => fail(new Error(`runner: ${code}`)));
      child.on("message", (message) => {
        if (message.kind === "up") done();
        else this.#handle(message);
      });
    });
    child.removeAllListeners("exit");
    child.once("exit", () => this.#lose());
  }

  /** Ends the present life at once, as a crash does. */
  async crash() {
    await this.close();
  }

  #lose() {
    for (const run of this.#running.values()) {
      this.onEvent({ ...run, kind: "lost", runner: this.name, detail: "" });
    }
    this.#running.clear();
    this.onLost();
  }

  /** Stands still, and answers nothing. */
  pause() {
    this.#child.kill("SIGSTOP");
  }

  async close() {
    const child = this.#child;
    if (child === undefined) return;
    if (child.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise((done) => child.once("exit", done));
    child.kill("SIGKILL");
    await ended;
  }

  #handle(message) {
    const { kind, task, run } = message;
    if (kind === "start") this.#running.set(task, { task, run });
    if (kind === "end") this.#running.delete(task);
    this.onEvent({ ...message, runner: this.name });
  }
}
