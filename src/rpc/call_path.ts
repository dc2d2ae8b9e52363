import { RunnerService } from "./gen/gypsumpond/v1/runner_pb.ts";

/** The path of the unary call that carries checks and orders. */
export const callPath =
  `/${RunnerService.typeName}/${RunnerService.method.call.name}`;
