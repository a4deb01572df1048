#!/usr/bin/env bash
# The stand-ins are plain modules that Node.js runs as they are; this checks that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [1-5]/case.mjs; do node --check "$file"; done
