#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside target/. Their stand-ins, review/stand-ins-2/, are plain
# Node.js and need no build: this checks that they and the cases parse.
cd "$(dirname "$0")/.." || exit 1
for file in review/stand-ins-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
