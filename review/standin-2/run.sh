#!/usr/bin/env bash
# Runs a case from the repository's root: run.sh CASE FOLDER. Ends all processes of the case also when it is stopped.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/${PROGRAM:-standin-2}
test -x "$program" || exit 2
"$program" "$1" "$2" &
id=$!
stop() {
    # Stopped first, so that it starts no further process.
    kill -STOP "$id"
    for status in /proc/[0-9]*/status; do
        if grep -qsE "^PPid:[[:space:]]+$id\$" "$status"; then
            child=${status#/proc/}
            kill -KILL "${child%/status}"
        fi
    done
    kill -KILL "$id"
    rm -rf "${TMPDIR:-/tmp}/review-$id"
    exit 2
}
trap stop TERM INT HUP
wait "$id"
