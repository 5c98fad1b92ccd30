#!/bin/sh
# Bundles the scripts of the cases 6 to 10, with their stand-ins, into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
for folder in 6 7 8 9 10; do
    if [ -f "review/$folder/case.ts" ]; then
        node_modules/.bin/esbuild "review/$folder/case.ts" --bundle --platform=node --target=node20 --format=esm \
            --log-level=warning "--outfile=target/review-2/$folder/case.mjs" \
            "--banner:js=import{createRequire as createRequireForBundle}from'node:module';const require=createRequireForBundle(import.meta.url);" \
            "--define:import.meta.dirname=\"review/$folder\""
    fi
done
