#!/bin/sh
# The stand-ins, the files *-2.mjs, are plain programs of Node.js: nothing has to
# be compiled. This checks that each can be read.
set -e
cd "$(dirname "$0")"
for file in *-2.mjs [6-9]/*.mjs 10/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
