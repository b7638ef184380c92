#!/usr/bin/env bash
# Control never comes back after a host was replaced and, later, another one has lost its disk.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] && [ -x target/release/cactuslatch-platform ] || exit 2
exec target/review/harness replaced review/1/record.txt
