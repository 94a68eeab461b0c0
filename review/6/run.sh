#!/bin/sh
# A worker's answer has lost its result, and the client is served with the text null.
# usage: review/6/run.sh, after the build of the deploy file and review/build-2.sh; TROUBLE=0 leaves the disruption out
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/SpoiltAnswer.class ] || exit 2
exec java -cp target/review-2 SpoiltAnswer review/6
