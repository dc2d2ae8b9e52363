// Builds one target:
//
//   node scripts/build.mjs [binary | bundle | platform | all]
//
//   binary    the product as a single executable, dist/gypsumpond (the default)
//   bundle    the product as one script, dist/gypsumpond.cjs
//   platform  the programs for the users' platform, in target/
//   all       bundle, platform, and tests and other development programs in
//             build/
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

const buildTarget = process.argv[2] ?? "binary";

const commonOptions = {
  bundle: true,
  platform: "node",
  target: "node20",
  logLevel: "warning",
  mainFields: ["module", "main"],
};

/** Bundles the product as CommonJS, which a single executable requires. */
async function bundleProduct() {
  await build({
    ...commonOptions,
    entryPoints: ["src/cli/main.ts"],
    outfile: "dist/gypsumpond.cjs",
    format: "cjs",
    minifySyntax: true,
    minifyWhitespace: true,
    // An optional native module of hot-shots.
    external: ["unix-dgram"],
    // CommonJS has no `import.meta.url`; the banner supplies its value.
    define: { "import.meta.url": "importMetaUrl" },
    banner: {
      js:
        "const importMetaUrl = require('node:url').pathToFileURL(__filename).href;",
    },
  });
}

/** Bundles the program that the platform runs and the operators' program. */
async function bundlePlatform() {
  await build({
    ...commonOptions,
    entryPoints: {
      gypsumpond: "platform/main.ts",
      operator: "platform/operator.ts",
    },
    outdir: "target",
    outExtension: { ".js": ".mjs" },
    format: "esm",
    minifySyntax: true,
    minifyWhitespace: true,
    // Bundled CommonJS dependencies call `require`, which ES modules lack.
    banner: {
      js:
        "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
    },
  });
}

/** Bundles tests, stand-ins, scenarios, demo, soak test and benchmarks. */
async function bundleDevelopmentPrograms() {
  const tests = readdirSync("tests", { recursive: true })
    .filter((name) => name.endsWith("_test.ts"))
    .map((name) => join("tests", name));
  const standIns = ["log", "worker", "runner", "fault_proxy"]
    .map((name) => `stand_ins/${name}/main.ts`);
  await build({
    ...commonOptions,
    entryPoints: [
      ...tests,
      ...standIns,
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

/** Injects the bundle into a copy of the running Node.js executable. */
function buildBinary() {
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
  // The name that Node.js defines for the marker of an injected blob.
  const sentinelFuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
  execFileSync(process.execPath, [
    "node_modules/postject/dist/cli.js",
    "dist/gypsumpond",
    "NODE_SEA_BLOB",
    "dist/gypsumpond.blob",
    "--sentinel-fuse",
    sentinelFuse,
  ]);
}

mkdirSync("dist", { recursive: true });
if (buildTarget === "platform") await bundlePlatform();
else await bundleProduct();
if (buildTarget === "binary") buildBinary();
if (buildTarget === "all") {
  await bundleDevelopmentPrograms();
  await bundlePlatform();
}
