#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
exec node target/review-3/case-14.mjs
