#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are plain modules of Node.js; there is nothing to bundle. Checks
# that they can be read, and that the build of the deploy file stands in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in review/stand-ins-3/*.mjs review/1[1-5]/*.mjs; do
  if [ -e "$module" ]; then node --check "$module"; fi
done
test -e target/clementinefork-gateway.js
