#!/bin/sh
# Builds the programs of the cases 6 to 10: one file each, with the standard library only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 || exit 2
for case in review/6 review/7 review/8 review/9 review/10; do
    [ -f "$case/case.rs" ] || continue
    rustc --edition 2024 -O -o "target/review-2/case-${case#review/}" "$case/case.rs" || exit 1
done
