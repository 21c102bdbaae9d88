#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Build the programs with the command of the deploy file and the stand-ins with review/build-3.sh first.
set -u
cd "$(dirname "$0")/../.."
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=2 115 target/review/release/standin-3 end-twice "$PWD" "$folder" review/15/record.txt &
child=$!
# The programs end with the stand-in.
trap 'kill "$child" 2>/dev/null; wait "$child"; exit 2' INT TERM
wait "$child"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
