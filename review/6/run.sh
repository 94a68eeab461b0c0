#!/bin/sh
# A worker's answer has lost its result, and the client is served with the text null.
# usage: review/6/run.sh, after the build of the deploy file and review/build-2.sh; TROUBLE=0 leaves the disruption out
exec sh "$(dirname "$0")/../play-2.sh" SpoiltAnswer review/6
