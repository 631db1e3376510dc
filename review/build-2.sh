#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[4-8]/case.rs; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -o "target/review-2/case-$number" "$case"
done
