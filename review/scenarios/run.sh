#!/usr/bin/env bash
# Runs the scenario NAME and writes its record to the folder CASE; ends every process that it started.
# Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
name=$1
case=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
tool=target/review-2/release/review-scenarios
for program in "$tool" target/release/platform-gateway target/release/platform-control; do
    [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
folder=$(mktemp -d) || exit 2
clean_up() {
    # The scenario ends its processes itself; these are left over only if it was ended from outside.
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" | grep -q "$folder" && kill -9 "$pid"
        done <"$folder/pids"
    fi
    rm -rf "$folder"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
timeout -k 2 110 "$tool" "$name" target/release "$folder" "$case/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
