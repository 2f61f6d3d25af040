#!/usr/bin/env bash
# Kills an entry host and a backend server under load. Every caller must get a
# complete response or a correct outcome, and no key may run twice.
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
wait "$LOAD" || fail "a caller received a wrong response: $(cat "$FLEET/load.txt")"
check_load "$FLEET/load.txt"
wait_serving 2
echo PASSED
