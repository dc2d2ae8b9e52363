/** Describes a message that concerns runs; others are left out of a trace. */
export function describeMessage(message: unknown): string | undefined {
  const { kind } = message as { kind: string };
  if (kind === "report" || kind === "renew" || kind === "noted") {
    return undefined;
  }
  const runs = JSON.stringify(message).matchAll(
    /"task":"([^"]+)","run":(\d+)/g,
  );
  const names = [...runs].map(([, task, run]) => `${task}#${run}`);
  return `${kind} ${names.join(" ")}`;
}
