#!/bin/sh
# Discovery answers each call 0.8 s late, and a worker that drains goes on getting jobs.
# usage: review/7/run.sh, after the build of the deploy file and review/build-2.sh; TROUBLE=0 leaves the disruption out
exec sh "$(dirname "$0")/../play-2.sh" SlowDiscovery review/7
