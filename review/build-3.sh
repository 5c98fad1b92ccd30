#!/bin/sh
# Builds the cases of REPORT-3.md with the stand-ins that they start, the project's own too.
set -e
cd "$(dirname "$0")/.."
for folder in 11 12 13 14 15; do
    if [ -f "review/$folder/case.ts" ]; then
        node_modules/.bin/esbuild "review/$folder/case.ts" --bundle --platform=node --target=node20 --format=esm \
            --packages=external --log-level=warning --outfile="target/review-3/case-$folder.mjs"
    fi
done
