#!/bin/sh
# Plays the case of claim.txt and writes record.txt beside this script. Needs the build of the deploy file and review/build.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
exec sh ../play.sh VanishedClass record.txt
