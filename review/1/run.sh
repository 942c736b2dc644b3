#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/platform-gateway target/release/platform-control target/review/release/review-harness; do
    [ -x "$program" ] || { echo "missing: $program" >&2; exit 2; }
done
exec target/review/release/review-harness election "review/1"
