#!/bin/sh
# Builds the cases of REPORT-3.md with the stand-ins that they start, the project's own too.
set -e
cd "$(dirname "$0")/.."
build() {
    node_modules/.bin/esbuild "$1" --bundle --platform=node --target=node20 --format=esm --packages=external \
        --log-level=warning --outfile="target/review-3/$2.mjs"
}
build review/lib-3/runnerProcess.ts runner
for folder in 11 12 13 14 15; do
    if [ -f "review/$folder/case.ts" ]; then
        build "review/$folder/case.ts" "case-$folder"
    fi
done
