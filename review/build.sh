#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. They are plain JavaScript without dependencies, so this only
# checks that each of them can be read. The build of the deploy file has to be run before.
set -e
cd "$(dirname "$0")"
for file in stand-ins/*.mjs */case.mjs; do node --check "$file"; done
