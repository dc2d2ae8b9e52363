import { execFileSync } from "node:child_process";
import { mkdtempSync, readFileSync, symlinkSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

const lockFile = "package-lock.json";

/**
 * Builds the platform's program as of a commit, in a folder of its own. Returns
 * the program's path; undefined if this repository does not have the commit.
 */
export function buildCommit(commit: string): string | undefined {
  if (!hasCommit(commit)) return undefined;
  const folder = mkdtempSync(join(tmpdir(), `build-${commit}-`));
  const archive = join(folder, "source.tar");
  execFileSync("git", ["archive", `--output=${archive}`, commit]);
  execFileSync("tar", ["-xf", archive, "-C", folder]);
  installPackages(folder);
  execFileSync(process.execPath, ["scripts/build.mjs", "platform"], {
    cwd: folder,
  });
  return join(folder, "target", "gypsumpond.mjs");
}

function hasCommit(commit: string): boolean {
  try {
    execFileSync("git", ["cat-file", "-e", `${commit}^{commit}`], {
      stdio: "ignore",
    });
    return true;
  } catch {
    return false;
  }
}

/** Uses the packages of this checkout if the commit locks the same ones. */
function installPackages(folder: string): void {
  const isSame = readFileSync(lockFile).equals(
    readFileSync(join(folder, lockFile)),
  );
  if (isSame) {
    symlinkSync(resolve("node_modules"), join(folder, "node_modules"));
  } else execFileSync("npm", ["ci", "--silent"], { cwd: folder });
}
