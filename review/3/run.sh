#!/bin/sh
# Plays the case; see claim.txt. Needs the build of the deploy file and review/build.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
# The case ends its scheduler itself, also when it is told to end because it hangs.
timeout -k 5 110 java -Xmx512m -cp ../target SameIdInUpgrade .
result=$?
[ $result -le 2 ] && exit $result
exit 2
