#!/bin/sh
# Plays one case; called by its run.sh with the name of the case's program and the file for its record.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run, such as without a build.
# Whatever happens, ends the processes that it started and removes its temporary folder, which is made in $TMPDIR or /tmp.
case_name=$1
record=$2
review=$(cd "$(dirname "$0")" && pwd) || exit 2
folder=$(mktemp -d "${TMPDIR:-/tmp}/review.XXXXXX") || exit 2

finish() {
    # The case ends its schedulers itself; this is for one that was killed.
    if [ -f "$folder/process-ids" ]; then
        while read -r id; do
            grep -qs barrowshore.jar "/proc/$id/cmdline" && kill -KILL "$id" 2>/dev/null
        done < "$folder/process-ids"
    fi
    rm -rf "$folder"
}
stop() {
    kill "$player" 2>/dev/null
    wait "$player"
    finish
    exit 2
}

: > "$record" || { rm -rf "$folder"; exit 2; }
timeout -k 5 105 java -Xmx512m -Djava.io.tmpdir="$folder" -cp "$review/target" \
    "$case_name" "$record" "$review/.." "$folder" &
player=$!
trap stop TERM INT HUP
wait "$player"
result=$?
finish
# A JVM that does not start exits with 1, so the program says "broken" by a code of its own.
case $result in
    0) exit 0 ;;
    10) exit 1 ;;
    *) echo "could not run: the case's program ended with $result" >> "$record"; exit 2 ;;
esac
