/**
 * Whether lists and objects are nested no deeper than so many levels. Code that
 * recurses through a value fails at some thousand.
 */
export function isNestedWithin(value: unknown, levels: number): boolean {
  if (typeof value !== "object" || value === null) return true;
  if (levels === 0) return false;
  const parts = Array.isArray(value) ? value : Object.values(value);
  for (const part of parts) {
    if (!isNestedWithin(part, levels - 1)) return false;
  }
  return true;
}
