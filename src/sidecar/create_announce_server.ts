import { createServer, type Server } from "node:http";
import * as v from "valibot";
import { GpError } from "../core/errors/gp_error.ts";
import { readJsonBody } from "../http/read_json_body.ts";
import { sendError } from "../http/send_error.ts";
import { sendJson } from "../http/send_json.ts";
import { RunnerInfo } from "./runner_info.ts";

const maxBodyBytes = 4_096;

/** Creates the server at which the local runner announces itself. */
export function createAnnounceServer(
  onAnnounce: (info: RunnerInfo) => void,
): Server {
  return createServer(async (request, response) => {
    try {
      if (request.method !== "POST" || request.url !== "/announce") {
        throw new GpError("not_found", "expected POST /announce");
      }
      const body = await readJsonBody(request, { maxBytes: maxBodyBytes });
      const info = v.safeParse(RunnerInfo, body);
      if (!info.success) {
        throw new GpError("bad_request", info.issues[0].message);
      }
      onAnnounce(info.output);
      sendJson(response, 200, { ok: true });
    } catch (cause) {
      sendError(response, GpError.from(cause));
    }
  });
}
