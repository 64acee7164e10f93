#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; see claim.txt.
exec "$(dirname "${BASH_SOURCE[0]}")/../run-case.sh" compacted-history "$(dirname "${BASH_SOURCE[0]}")"
