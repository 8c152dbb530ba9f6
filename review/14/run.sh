#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/carawaycleat-platform target/review-3/standin-3; do
    if [ ! -x "$program" ]; then
        echo "$program is not built" >&2
        exit 2
    fi
done
target/review-3/standin-3 slots review/14 &
case=$!
# An interrupted run ends its hosts too.
trap 'kill $(cat /proc/$case/task/*/children) $case; exit 2' INT TERM HUP
wait $case
