/** Whether a value is a list of items that all pass a check. */
export function isListOf(
  value: unknown,
  isItem: (item: unknown) => boolean,
): value is readonly unknown[] {
  return Array.isArray(value) && value.every(isItem);
}
