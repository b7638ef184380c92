#!/usr/bin/env bash
# Builds the stand-ins of the cases 16 to 20: one program, with nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-4
rustc --edition 2024 -O -o target/review-4/harness-4 review/harness-4/main.rs
