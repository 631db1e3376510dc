#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
target/review-2/case-5 review/5 "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
