#!/bin/sh
# The stand-ins of review/second are plain programs of Node.js: nothing has to be
# compiled. This checks that each can be read.
set -e
cd "$(dirname "$0")"
for file in second/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
