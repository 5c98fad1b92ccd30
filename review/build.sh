#!/bin/bash
# Bundles the scripts of the cases, with the stand-ins that they start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
banner="import{createRequire as createRequireForBundle}from'node:module';const require=createRequireForBundle(import.meta.url);"
mkdir -p target/review
for script in review/[1-5]/case.ts; do
    [ -f "$script" ] || continue
    number="$(basename "$(dirname "$script")")"
    node_modules/.bin/esbuild "$script" --bundle --platform=node --target=node20 --format=esm \
        "--outfile=target/review/case-$number.mjs" --log-level=warning "--banner:js=$banner"
done
