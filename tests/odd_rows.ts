import fc from "fast-check";

const deep = `${'{"a":'.repeat(20_000)}0${"}".repeat(20_000)}`;
const deepList = `${"[".repeat(50_000)}${"]".repeat(50_000)}`;

/** Numbers that JSON can hold and that are of no use, as JSON. */
const oddNumbers = [
  "1e400",
  "-1e400",
  "1e300",
  "9007199254740993",
  "-1",
  "0.5",
  "65536",
];

/** JSON texts that no program of this system writes. */
const oddTexts: fc.Arbitrary<string> = fc.oneof(
  fc.constantFrom("{}", "[]", "null", "7", '"x"', "", "{", deep, deepList),
  fc.constantFrom(...oddNumbers),
  fc.json({ maxDepth: 4 }),
  fc.string(),
);

/**
 * Rows like a valid one, of which one value is replaced or removed, and texts
 * that have nothing in common with it.
 */
export function oddRowsLike(valid: unknown): fc.Arbitrary<string> {
  const paths = pathsOf(valid);
  const changed = fc.tuple(fc.constantFrom(...paths), oddTexts).map((
    [path, text],
  ) => replaced(valid, path, text));
  return fc.oneof(changed, oddTexts);
}

type Path = readonly (string | number)[];

function pathsOf(value: unknown, path: Path = []): Path[] {
  if (typeof value !== "object" || value === null) return [path];
  return [
    path,
    ...Object.entries(value).flatMap(([key, each]) =>
      pathsOf(each, [...path, key])
    ),
  ];
}

/** The value as JSON, with the text in place of what the path leads to. */
function replaced(value: unknown, path: Path, text: string): string {
  const [key, ...rest] = path;
  if (key === undefined) return text;
  if (Array.isArray(value)) {
    const items = value.map((each, index) =>
      String(index) === key
        ? replaced(each, rest, text)
        : JSON.stringify(each) ?? "null"
    );
    return `[${items.join(",")}]`;
  }
  const fields = Object.entries(value as Record<string, unknown>)
    .filter(([, each]) => each !== undefined)
    .map(([name, each]) => {
      const json = name === key
        ? replaced(each, rest, text)
        : JSON.stringify(each);
      return `${JSON.stringify(name)}:${json}`;
    });
  return `{${fields.join(",")}}`;
}
