#!/bin/sh
# Clients send much behind their job and go, and further attempts begin long after that.
# usage: review/9/run.sh, after the build of the deploy file and review/build-2.sh; TROUBLE=0 leaves the disruption out
exec sh "$(dirname "$0")/../play-2.sh" LeavingFlood review/9
