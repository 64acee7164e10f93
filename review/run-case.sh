#!/usr/bin/env bash
# Runs one case: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. With TROUBLE=0, the disruption is left out.
set -uo pipefail
name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/.."
program=target/review/release/review-standin
for file in "$program" target/release/lacewingrail-instance; do
    if [ ! -x "$file" ]; then
        echo "$file is missing: run the deploy build and review/build.sh first" >&2
        exit 2
    fi
done
scratch=$(mktemp -d)
cleanup() {
    # The program removes this file once it has ended all processes that it started.
    if [ -f "$scratch/pids" ]; then
        while read -r pid; do kill -9 "$pid" 2>/dev/null; done < "$scratch/pids"
    fi
    rm -rf "$scratch"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
"$program" "$name" "$scratch" "$folder/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
