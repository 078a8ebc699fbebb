#!/bin/bash
# The stand-ins of the scripts are plain modules; this checks that they parse.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs [0-9]*/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 1
done
