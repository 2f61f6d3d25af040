#!/usr/bin/env bash
# Kills an entry host and a backend server in mid-load: every caller gets a
# whole answer or a refusal that is true, and no key runs twice.
set -eu
. tests/process/fleet.sh
standard_fleet run/killed 22000
load 8 0.3 --list-keys >"$FLEET/load.txt" 2>&1 &
LOAD=$!
wait_until 20 test -s "$FLEET/runs.log"
end_process entry-2
end_process backend-3
wait_until 20 is_serving 1
start_entry 2
start_backend 3 profile
wait "$LOAD" || fail "the callers saw a wrong answer: $(cat "$FLEET/load.txt")"
check_load "$FLEET/load.txt"
wait_serving 2
echo PASSED
