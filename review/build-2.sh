#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript for Node.js 20 and need no build; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [6-9]/case.mjs 10/case.mjs; do
  [ ! -f "$file" ] || node --check "$file"
done
