// Types of the files of undici that are imported by path, since undici declares
// types for its main module only.
declare module "undici/lib/dispatcher/pool.js" {
  import { Pool } from "undici";
  export default Pool;
}

declare module "undici/lib/api/api-request.js" {
  import type { Dispatcher } from "undici";
  export default function request(
    this: Pick<Dispatcher, "dispatch">,
    options: Dispatcher.RequestOptions,
  ): Promise<Dispatcher.ResponseData>;
}
