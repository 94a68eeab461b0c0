#!/bin/sh
# A new version starts while discovery is down, and sends to a worker of which the old process knew that it drains.
# usage: review/10/run.sh, after the build of the deploy file and review/build-2.sh; TROUBLE=0 leaves the disruption out
exec sh "$(dirname "$0")/../play-2.sh" UpgradeInOutage review/10
