/**
 * How deeply lists and objects are nested in a JSON text. Code that recurses
 * through a value fails at some thousand levels.
 */
export function nestingDepth(text: string): number {
  let depth = 0;
  let deepest = 0;
  let isInString = false;
  for (let index = 0; index < text.length; index++) {
    const character = text[index];
    if (isInString) {
      if (character === "\\") index += 1;
      else if (character === '"') isInString = false;
    } else if (character === '"') isInString = true;
    else if (character === "{" || character === "[") {
      depth += 1;
      deepest = Math.max(deepest, depth);
    } else if (character === "}" || character === "]") depth -= 1;
  }
  return deepest;
}
