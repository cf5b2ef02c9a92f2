#!/bin/sh
# Checks the stand-ins and the scripts of the third review, which are plain JavaScript and need no compiling. To be run
# after the build of deploy/system.toml, which the scripts start the programs of.
set -e
cd "$(dirname "$0")/.."
for file in review/stand-ins-3/*.mjs review/1[1-5]/*.mjs; do node --check "$file"; done
for file in target/entry.blob target/agent.blob; do
  if [ ! -f "$file" ]; then echo "$file is missing: run the build of deploy/system.toml first" >&2; exit 1; fi
done
