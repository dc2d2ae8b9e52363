/** Groups items by a key; groups and items keep their order. */
export function groupBy<T, K>(
  items: Iterable<T>,
  keyOf: (item: T) => K,
): Map<K, T[]> {
  const groups = new Map<K, T[]>();
  for (const item of items) {
    const key = keyOf(item);
    const known = groups.get(key);
    if (known === undefined) groups.set(key, [item]);
    else known.push(item);
  }
  return groups;
}
