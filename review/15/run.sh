#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# With TROUBLE=0, the disruption is left out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
driver=$root/target/review-3/release/review-standin-3
for program in "$driver" "$root/target/release/lacewingrail-instance"; do
    [ -x "$program" ] || { echo "not built: ${program#"$root"/}" >&2; exit 2; }
done
cd "$root" || exit 2
"$driver" late "$root" "$here/record.txt"
code=$?
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
