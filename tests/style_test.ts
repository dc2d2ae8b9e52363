import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { expect } from "chai";

const folders = ["src", "platform", "stand_ins", "scenarios", "demo", "bench"];
const maxFileLines = 320;

function* sourceFiles(): Generator<{ file: string; text: string }> {
  for (const folder of folders) {
    for (
      const name of readdirSync(folder, { recursive: true, encoding: "utf8" })
    ) {
      const isSource = name.endsWith(".ts") && !name.endsWith(".d.ts");
      if (!isSource || name.includes("gen/")) continue;
      const file = join(folder, name);
      yield { file, text: readFileSync(file, "utf8") };
    }
  }
}

function exportsOf(text: string): Set<string> {
  const pattern =
    /^export (?:abstract )?(?:async )?(?:function\*?|const|class|type|interface) (\w+)/gm;
  return new Set([...text.matchAll(pattern)].map((match) => match[1] ?? ""));
}

describe("the source style", () => {
  it("has at most one export per file", () => {
    const offending = [...sourceFiles()].filter(({ text }) =>
      exportsOf(text).size > 1
    );
    expect(offending.map(({ file }) => file)).to.eql([]);
  });

  it("keeps files short", () => {
    const tooLong = [...sourceFiles()]
      .filter(({ text }) => text.split("\n").length > maxFileLines);
    expect(tooLong.map(({ file }) => file)).to.eql([]);
  });

  it("keeps the platform's names in platform/", () => {
    const names =
      /fencingToken|memMb|dependsOn|longRunning|antiAffinity|estimatedMs|mayMiss|runCount|firstRunMs|targetCompletionMs|pathPrefix|keyed\.|log-append|log-read|run-start|run-stop|coldRemainingMs|Deadline-Ms|GYPSUMPOND_BOOT/;
    const offending = [...sourceFiles()]
      .filter(({ file }) => !file.startsWith("platform"))
      .filter(({ text }) => names.test(text));
    expect(offending.map(({ file }) => file)).to.eql([]);
  });

  it("keeps the platform's folder small", () => {
    const maxLines = 1_500;
    const lines = [...sourceFiles()]
      .filter(({ file }) => file.startsWith("platform"))
      .reduce((sum, { text }) => sum + text.split("\n").length, 0);
    expect(lines).to.be.at.most(maxLines);
  });

  it("keeps the core free of libraries and of the platform", () => {
    const imports = [...sourceFiles()]
      .filter(({ file }) => file.startsWith("src/core/"))
      .flatMap(({ file, text }) =>
        [...text.matchAll(/^import (?!type).* from "([^."][^"]*)"/gm)]
          .map((match) => `${file} ${match[1]}`)
      );
    expect(imports).to.eql([]);
  });
});
