#!/bin/sh
# Plays one case in a temporary folder of its own, and ends all that it started: exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run, whatever the reason.
# usage: review/play-2.sh CLASS FOLDER, by the case's run.sh
BROKEN=10
HELD=11
cd "$(dirname "$0")/.." || exit 2
[ -f "target/review-2/$1.class" ] && [ -f target/barrowshore.jar ] || exit 2
work=$(mktemp -d "${TMPDIR:-/tmp}/review-2.XXXXXX") || exit 2
driver=

# Without a verdict the driver may have ended without ending its processes, whose ids it writes down as it starts them.
end_all() {
    [ -n "$driver" ] && kill -9 "$driver" 2> /dev/null
    [ -f "$work/pids" ] && while read -r pid; do kill -9 "$pid" 2> /dev/null; done < "$work/pids"
    rm -rf "$work"
}
trap 'end_all; exit 2' HUP INT TERM
java -Djava.io.tmpdir="$work" -cp target/review-2 "$1" "$2" &
driver=$!
wait "$driver"
code=$?
case $code in
    "$BROKEN") rm -rf "$work"; exit 1 ;;
    "$HELD") rm -rf "$work"; exit 0 ;;
    *) end_all; exit 2 ;;
esac
