#!/bin/sh
# Clients send much behind their job and go, and further attempts begin long after that.
# usage: review/9/run.sh, after the build of the deploy file and review/build-2.sh; TROUBLE=0 leaves the disruption out
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/LeavingFlood.class ] || exit 2
exec java -cp target/review-2 LeavingFlood review/9
