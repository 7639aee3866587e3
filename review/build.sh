#!/bin/sh
# The stand-ins are plain JavaScript and need no build; this checks that they can be read.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib/*.mjs review/[0-9]/*.mjs; do
    node --check "$file" || exit 1
done
