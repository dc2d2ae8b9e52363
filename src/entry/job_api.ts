import { randomBytes } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import * as v from "valibot";
import { GpError } from "../core/errors/gp_error.ts";
import type { CellRecord } from "../core/fold/cell_record.ts";
import { readJsonBody } from "../http/read_json_body.ts";
import { sendError } from "../http/send_error.ts";
import { sendJson } from "../http/send_json.ts";
import { cellStreamName } from "../keeper/cell_stream_name.ts";
import { readCellLedger } from "../keeper/read_cell_ledger.ts";
import type { CellId } from "../schema/cell_id.ts";
import { JobId } from "../schema/job_id.ts";
import { SubmitRequest } from "../schema/submit_request.ts";
import { chooseCell } from "./choose_cell.ts";
import type { Entry } from "./entry.ts";
import { jobFromTemplate } from "./job_from_template.ts";
import { readMember } from "./read_member.ts";

const maxAppendAttempts = 3;
const keeperCallTimeoutMs = 1_000;

/** Serves `/jobs`: submits, finds and cancels jobs. */
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
      sendJson(response, 201, { id: createJobId(cell) });
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
    const member = readMember(config, request);
    const body = await readJsonBody(request, {
      maxBytes: settings.maxBodyBytes,
    });
    const parsed = v.safeParse(SubmitRequest, body);
    if (!parsed.success) {
      throw new GpError("bad_request", parsed.issues[0].message);
    }
    const id = parsed.output.id ?? createJobId(this.#chooseCell());
    const cell = this.#requireKnownCell(id);
    const job = jobFromTemplate(config, parsed.output, id, member);
    const atMs = Date.now();
    const record = { kind: "submitted", job, atMs, by: settings.id } as const;
    try {
      const offset = await this.#appendWithRetries(cell, record);
      this.#wakeKeeper(cell);
      sendJson(response, 202, { id, cell, offset });
    } catch (cause) {
      const error = GpError.from(cause);
      this.entry.metrics.count("answer", error.kind);
      // With the id, the caller can repeat the submission or find the job.
      sendError(response, error, { id });
    }
  }

  /** Retries are safe: the second of two equal records is void. */
  async #appendWithRetries(cell: CellId, record: CellRecord): Promise<number> {
    let lastError: unknown;
    for (let attempt = 1; attempt <= maxAppendAttempts; attempt++) {
      try {
        return await this.entry.log.append(cellStreamName(cell), [record]);
      } catch (cause) {
        lastError = combineErrors(lastError, cause);
        this.entry.metrics.count("retry", GpError.from(cause).kind);
      }
    }
    throw lastError;
  }

  async #find(response: ServerResponse, idText: string): Promise<void> {
    const id = parseJobId(idText);
    const keeper = this.entry.node.peerTable.keeperOf(cellOfJob(id));
    if (keeper === undefined) throw new GpError("keeper_unreachable");
    const client = this.entry.node.clients.peer(keeper.endpoint);
    const request = { cell: cellOfJob(id), job: id };
    const reply = await client.findJob(request, {
      timeoutMs: keeperCallTimeoutMs,
    })
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
    idText: string,
  ): Promise<void> {
    const id = parseJobId(idText);
    const member = readMember(this.entry.node.config.state, request);
    const ledger = await readCellLedger(this.entry.log, cellOfJob(id));
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
    await this.#appendWithRetries(cellOfJob(id), record);
    this.#wakeKeeper(cellOfJob(id));
    sendJson(response, 202, { id });
  }

  #chooseCell(): CellId {
    const cell = chooseCell(this.entry.node.peerTable, Math.random);
    if (cell === undefined) {
      throw new GpError("keeper_unreachable", "no cell is known");
    }
    return cell;
  }

  /** Rejects ids of unknown cells, so that no id can create a stream. */
  #requireKnownCell(id: JobId): CellId {
    const cell = cellOfJob(id);
    const isKnown = this.entry.node.peerTable.cells().includes(cell);
    if (!isKnown) throw new GpError("keeper_unreachable", `no cell ${cell}`);
    return cell;
  }

  /** Makes the keeper read the log now instead of at its next tick. */
  #wakeKeeper(cell: CellId): void {
    const keeper = this.entry.node.peerTable.keeperOf(cell);
    if (keeper === undefined) return;
    const client = this.entry.node.clients.peer(keeper.endpoint);
    client.wake({ cell }, { timeoutMs: keeperCallTimeoutMs }).catch(() => {
      this.entry.metrics.count("wake.failed");
    });
  }
}

/** The id contains its cell, so that a repeated request reaches that cell. */
function createJobId(cell: CellId): JobId {
  return `${cell}.${randomBytes(8).toString("hex")}` as JobId;
}

function parseJobId(idText: string): JobId {
  const id = v.safeParse(JobId, idText);
  if (!id.success) throw new GpError("bad_request", "malformed job id");
  return id.output;
}

function cellOfJob(id: JobId): CellId {
  const dot = id.lastIndexOf(".");
  if (dot <= 0) {
    throw new GpError("bad_request", "a job's id comes from POST /jobs/ids");
  }
  return id.slice(0, dot) as CellId;
}

/** If any attempt may have taken effect, the outcome is unknown. */
function combineErrors(earlier: unknown, latest: unknown): unknown {
  const isUnknown = earlier !== undefined &&
    GpError.from(earlier).kind === "outcome_unknown";
  return isUnknown ? earlier : latest;
}
