#!/usr/bin/env bash
# Checks the stand-ins of cases 6 to 10. They are plain JavaScript and need no packages, so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
