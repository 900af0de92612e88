#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. They are plain modules for Node.js under review/lib-3, so this
# only checks that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
