import { hashText } from "./hash_text.ts";

/** Sorts the names by preference for the key (rendezvous hashing). */
export function rendezvousOrder<T extends string>(
  key: string,
  names: readonly T[],
): T[] {
  return names
    .map((name) => ({ name, weight: hashText(`${key} ${name}`) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}
