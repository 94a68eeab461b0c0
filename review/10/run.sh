#!/bin/sh
# A new version starts while discovery is down, and sends to a worker of which the old process knew that it drains.
# usage: review/10/run.sh, after the build of the deploy file and review/build-2.sh; TROUBLE=0 leaves the disruption out
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/UpgradeInOutage.class ] || exit 2
exec java -cp target/review-2 UpgradeInOutage review/10
