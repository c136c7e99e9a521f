#!/usr/bin/env bash
# Checks the stand-ins of cases 6 and later. They are plain programs of Node.js, so that nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
