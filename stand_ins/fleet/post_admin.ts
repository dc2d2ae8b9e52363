/** Changes the faults of a stand-in by a request to its admin path. */
export async function postAdmin(port: number, faults: unknown): Promise<void> {
  await fetch(`http://127.0.0.1:${port}/admin`, {
    method: "POST",
    body: JSON.stringify(faults),
  });
}
