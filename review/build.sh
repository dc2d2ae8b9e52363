#!/usr/bin/env bash
# The stand-ins of the cases are plain scripts for Node.js without dependencies:
# there is nothing to compile, so this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.mjs [1-5]/case.mjs; do node --check "$file"; done
