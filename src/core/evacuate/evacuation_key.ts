/** The key of the operator's request to evacuate a data centre. */
export function evacuationKey(zone: string): string {
  return `evacuate/${zone}`;
}
