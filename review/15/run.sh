#!/usr/bin/env bash
# Tasks stand still for a while on the only worker that a job may use; the job avoids it long after.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -m
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/harness ] && [ -x target/release/cactuslatch-platform ] || exit 2
# A process group of its own, so that nothing is left if this script is stopped.
target/review-3/harness avoid review/15/record.txt &
group=$!
trap 'kill -KILL -- "-$group"' INT TERM
wait "$group"
exit $?
