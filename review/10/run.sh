#!/bin/sh
# Run in the repository's root or anywhere; needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-10 ] || exit 2
exec target/review-2/case-10 review/10/record.txt
