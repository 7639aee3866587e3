#!/bin/sh
# The stand-ins of these scripts are plain JavaScript in review/lib-2, review/lib-3 and the cases: there is nothing to translate.
# This only checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs lib-3/*.mjs [4-8]/*.mjs; do
    node --check "$file"
done
test -f ../target/galenaglade-edge.cjs || { echo "build the deploy file first"; exit 1; }
