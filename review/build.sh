#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node.js, which are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib/*.mjs [1-5]/*.mjs; do node --check "$module"; done
