import { HttpLog } from "../adapters/http_log.ts";
import { HttpPools } from "../adapters/http_pools.ts";
import type { Log } from "../core/log/log.ts";
import { parseEndpoint } from "./parse_endpoint.ts";

const connections = 2;

/** Runs a function with the log at the address, and closes it afterwards. */
export async function withLog<T>(
  address: string,
  use: (log: Log) => Promise<T>,
): Promise<T> {
  const pools = new HttpPools(connections);
  try {
    return await use(new HttpLog(parseEndpoint(address), pools));
  } finally {
    await pools.close();
  }
}
