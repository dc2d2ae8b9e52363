import { randomBytes } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import * as v from "valibot";
import { GpError } from "../core/errors/gp_error.ts";
import type { CellRecord } from "../core/fold/cell_record.ts";
import { readJsonBody } from "../http/read_json_body.ts";
import { sendError } from "../http/send_error.ts";
import { sendJson } from "../http/send_json.ts";
import { cellStream } from "../keeper/cell_stream.ts";
import { readCell } from "../keeper/read_cell.ts";
import type { CellId } from "../schema/cell_id.ts";
import { JobId } from "../schema/job_id.ts";
import { SubmitRequest } from "../schema/submit_request.ts";
import { chooseCell } from "./choose_cell.ts";
import type { Entry } from "./entry.ts";
import { jobFromTemplate } from "./job_from_template.ts";
import { memberOf } from "./member_of.ts";

const appendTries = 3;
const callTimeoutMs = 1_000;

/** Takes jobs, and tells how they stand. */
export class JobApi {
  constructor(readonly entry: Entry) {}

  /** Answers a request to `/jobs` or `/jobs/ID`. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    id: string | undefined,
  ): Promise<void> {
    if (request.method === "POST" && id === undefined) {
      await this.#submit(request, response);
    } else if (request.method === "POST" && id === "ids") {
      const cell = this.#chooseCell();
      sendJson(response, 201, { id: mintId(cell) });
    } else if (request.method === "GET" && id !== undefined) {
      await this.#find(response, id);
    } else if (request.method === "DELETE" && id !== undefined) {
      await this.#cancel(request, response, id);
    } else {
      throw new GpError("not_found", `no ${request.method} at jobs`);
    }
  }

  async #submit(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { node, settings } = this.entry;
    const config = node.config.state;
    const member = memberOf(config, request);
    const raw = await readJsonBody(request, settings.maxBodyBytes);
    const parsed = v.safeParse(SubmitRequest, raw);
    if (!parsed.success) {
      throw new GpError("bad_request", parsed.issues[0].message);
    }
    const id = parsed.output.id ?? mintId(this.#chooseCell());
    const cell = this.#knownCellOf(id);
    const job = jobFromTemplate(config, parsed.output, id, member);
    const atMs = Date.now();
    const record = { kind: "submitted", job, atMs, by: settings.id } as const;
    try {
      const offset = await this.#append(cell, record);
      this.#wake(cell);
      sendJson(response, 202, { id, cell, offset });
    } catch (cause) {
      const error = GpError.from(cause);
      this.entry.metrics.count("answer", error.kind);
      sendError(response, error, { id });
    }
  }

  /** Appending again is safe: the fold takes a job's id once. */
  async #append(cell: CellId, record: CellRecord): Promise<number> {
    let last: unknown;
    for (let attempt = 1; attempt <= appendTries; attempt++) {
      try {
        return await this.entry.log.append(cellStream(cell), [record]);
      } catch (cause) {
        last = worst(last, cause);
        this.entry.metrics.count("retry", GpError.from(cause).kind);
      }
    }
    throw last;
  }

  async #find(response: ServerResponse, text: string): Promise<void> {
    const id = parseId(text);
    const keeper = this.entry.node.members.keeperOf(cellOf(id));
    if (keeper === undefined) throw new GpError("keeper_unreachable");
    const client = this.entry.node.clients.peer(keeper.endpoint);
    const request = { cell: cellOf(id), job: id };
    const reply = await client.findJob(request, { timeoutMs: callTimeoutMs })
      .catch((cause) => {
        throw new GpError("keeper_unreachable", cause.message);
      });
    if (!reply.found) throw new GpError("not_found", id);
    const view = JSON.parse(new TextDecoder().decode(reply.jobJson));
    sendJson(response, 200, view);
  }

  async #cancel(
    request: IncomingMessage,
    response: ServerResponse,
    text: string,
  ): Promise<void> {
    const id = parseId(text);
    const member = memberOf(this.entry.node.config.state, request);
    const ledger = await readCell(this.entry.log, cellOf(id));
    const row = ledger.jobs.get(id);
    if (row === undefined) throw new GpError("not_found", id);
    if (row.job.member !== member) {
      throw new GpError("unknown_member", "the job is another member's");
    }
    const by = this.entry.settings.id;
    const record = {
      kind: "cancelled",
      job: id,
      atMs: Date.now(),
      by,
    } as const;
    await this.#append(cellOf(id), record);
    this.#wake(cellOf(id));
    sendJson(response, 202, { id });
  }

  #chooseCell(): CellId {
    const cell = chooseCell(this.entry.node.members, Math.random);
    if (cell === undefined) {
      throw new GpError("keeper_unreachable", "no cell is known");
    }
    return cell;
  }

  /** A made-up id must not start a stream of its own. */
  #knownCellOf(id: JobId): CellId {
    const cell = cellOf(id);
    const isKnown = this.entry.node.members.cells().includes(cell);
    if (!isKnown) throw new GpError("keeper_unreachable", `no cell ${cell}`);
    return cell;
  }

  /** The keeper looks at the log at once instead of at its next turn. */
  #wake(cell: CellId): void {
    const keeper = this.entry.node.members.keeperOf(cell);
    if (keeper === undefined) return;
    const client = this.entry.node.clients.peer(keeper.endpoint);
    client.wake({ cell }, { timeoutMs: callTimeoutMs }).catch(() => {
      this.entry.metrics.count("wake.failed");
    });
  }
}

/** A job's id names the cell that holds it, so that a repeat finds it. */
function mintId(cell: CellId): JobId {
  return `${cell}.${randomBytes(8).toString("hex")}` as JobId;
}

function parseId(text: string): JobId {
  const id = v.safeParse(JobId, text);
  if (!id.success) throw new GpError("bad_request", "malformed job id");
  return id.output;
}

function cellOf(id: JobId): CellId {
  const dot = id.lastIndexOf(".");
  if (dot <= 0) {
    throw new GpError("bad_request", "a job's id comes from POST /jobs/ids");
  }
  return id.slice(0, dot) as CellId;
}

/** One try that may have taken effect makes the outcome unknown. */
function worst(before: unknown, now: unknown): unknown {
  const isUnknown = before !== undefined &&
    GpError.from(before).kind === "outcome_unknown";
  return isUnknown ? before : now;
}
