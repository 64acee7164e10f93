#!/bin/sh
# Plays the case in claim.txt; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. Build the deploy file's program and review/build-2.sh first.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
for program in target/release/lacewingrail-instance target/review-2/standin; do
    [ -x "$program" ] || { echo "$program is missing"; exit 2; }
done
exec target/review-2/standin lost-end "$here/record.txt"
