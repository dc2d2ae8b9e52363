import { mkdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { expect } from "chai";
import { build } from "esbuild";
import type { FaultCase } from "./fault_case.ts";
import { callThroughFaults } from "./call_through_faults.ts";
import { startSmallFleet } from "./start_small_fleet.ts";

const folder = "build/mutants";

/** One faulty change of the product, and the check that has to notice it. */
interface Mutant {
  readonly name: string;
  readonly file: string;
  readonly from: string;
  readonly to: string;
  readonly faults: FaultCase;
  /** The field of the result that has to hold the calls that went wrong. */
  readonly caughtAs: "wrong" | "falselyRefused" | "twice";
}

const mutants: readonly Mutant[] = [
  {
    name: "every broken connection counts as refused",
    file: "connect_failed.ts",
    from: "  return false;\n}",
    to: "  return true;\n}",
    faults: { name: "resets", runner: { resetRatio: 0.3 } },
    caughtAs: "falselyRefused",
  },
  {
    name: "orders are not remembered",
    file: "order_book.ts",
    from: "return this.#orders.get(key);",
    to: "return undefined;",
    faults: { name: "resets", runner: { resetRatio: 0.3 } },
    caughtAs: "twice",
  },
  {
    name: "answers to other requests are forwarded",
    file: "http_runner.ts",
    from: "answer.headers[attemptHeader] !== attemptId",
    to: "false",
    faults: { name: "crossed", runner: { crossedRatio: 0.3 } },
    caughtAs: "wrong",
  },
  {
    name: "truncated answers are forwarded",
    file: "http_runner.ts",
    from: 'throw new GpError(isTimeout(cause) ? "timeout" : "truncated");',
    to: "return new Uint8Array();",
    faults: { name: "truncated", runner: { truncatedRatio: 0.3 } },
    caughtAs: "wrong",
  },
];

/** Bundles the product with the mutant's change in its file. */
async function buildMutant(
  { file, from, to }: Mutant,
  outfile: string,
): Promise<void> {
  await build({
    entryPoints: ["src/cli/main.ts"],
    outfile,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    mainFields: ["module", "main"],
    external: ["unix-dgram"],
    logLevel: "error",
    define: { "import.meta.url": "importMetaUrl" },
    banner: {
      js:
        "const importMetaUrl = require('node:url').pathToFileURL(__filename).href;",
    },
    plugins: [{
      name: "mutation",
      setup({ onLoad }): void {
        onLoad({ filter: new RegExp(`src/.*/${file}$`) }, ({ path }) => {
          const text = readFileSync(path, "utf8");
          if (!text.includes(from)) throw new Error(`${file} lacks: ${from}`);
          return { contents: text.replace(from, to), loader: "ts" };
        });
      },
    }],
  });
}

describe("the checks of the fault tests notice that", function () {
  this.timeout(60_000);

  for (const [index, mutant] of mutants.entries()) {
    it(mutant.name, async () => {
      mkdirSync(folder, { recursive: true });
      const mutantPath = join(folder, `mutant_${index}.cjs`);
      await buildMutant(mutant, mutantPath);
      const fleet = await startSmallFleet({ bundlePath: mutantPath });
      try {
        const result = await callThroughFaults(
          fleet,
          mutant.faults,
          `m${index}`,
        );
        expect(result[mutant.caughtAs].length).to.be.greaterThan(0);
      } finally {
        await fleet.stop();
      }
    });
  }
});
