import { execFileSync } from "node:child_process";
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readdirSync,
  writeFileSync,
} from "node:fs";
import { join } from "node:path";
import { build } from "esbuild";

const what = process.argv[2] ?? "binary";

const common = {
  bundle: true,
  platform: "node",
  target: "node20",
  logLevel: "warning",
  mainFields: ["module", "main"],
};

async function bundleProduct() {
  await build({
    ...common,
    entryPoints: ["src/cli/main.ts"],
    outfile: "dist/gypsumpond.cjs",
    format: "cjs",
    minifySyntax: true,
    minifyWhitespace: true,
    external: ["unix-dgram"],
    define: { "import.meta.url": "importMetaUrl" },
    banner: {
      js:
        "const importMetaUrl = require('node:url').pathToFileURL(__filename).href;",
    },
  });
}

/** The program that the platform runs, and the one that its operators do. */
async function bundlePlatform() {
  await build({
    ...common,
    entryPoints: {
      gypsumpond: "platform/main.ts",
      operator: "platform/operator.ts",
    },
    outdir: "target",
    outExtension: { ".js": ".mjs" },
    format: "esm",
    minifySyntax: true,
    minifyWhitespace: true,
    banner: {
      js:
        "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
    },
  });
}

async function bundleOthers() {
  const tests = readdirSync("tests", { recursive: true })
    .filter((name) => name.endsWith("_test.ts"))
    .map((name) => join("tests", name));
  const mains = ["log", "worker", "runner", "fault_proxy"]
    .map((name) => `stand_ins/${name}/main.ts`);
  await build({
    ...common,
    entryPoints: [
      ...tests,
      ...mains,
      "scenarios/main.ts",
      "demo/main.ts",
      "tests/soak/main.ts",
      ...readdirSync("bench").filter((name) => name.endsWith("_bench.ts"))
        .map((name) => join("bench", name)),
    ],
    outdir: "build",
    outbase: ".",
    format: "esm",
    packages: "external",
    splitting: true,
    sourcemap: "inline",
    outExtension: { ".js": ".mjs" },
  });
}

/** Injects the bundle into a copy of the running Node.js. */
function makeBinary() {
  const config = {
    main: "dist/gypsumpond.cjs",
    output: "dist/gypsumpond.blob",
    disableExperimentalSEAWarning: true,
  };
  writeFileSync("dist/sea.json", JSON.stringify(config));
  execFileSync(process.execPath, [
    "--experimental-sea-config",
    "dist/sea.json",
  ]);
  copyFileSync(process.execPath, "dist/gypsumpond");
  chmodSync("dist/gypsumpond", 0o755);
  const fuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
  execFileSync(process.execPath, [
    "node_modules/postject/dist/cli.js",
    "dist/gypsumpond",
    "NODE_SEA_BLOB",
    "dist/gypsumpond.blob",
    "--sentinel-fuse",
    fuse,
  ]);
}

mkdirSync("dist", { recursive: true });
if (what === "platform") await bundlePlatform();
else await bundleProduct();
if (what === "binary") makeBinary();
if (what === "all") {
  await bundleOthers();
  await bundlePlatform();
}
