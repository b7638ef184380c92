#!/usr/bin/env bash
# A job that its client has cancelled is started by an entry host that wakes.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] && [ -x target/release/cactuslatch-platform ] || exit 2
exec target/review/harness thaw review/4/record.txt
