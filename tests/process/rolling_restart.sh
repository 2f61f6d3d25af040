#!/usr/bin/env bash
# Restarts every host gracefully, one after another, under load. No request may
# be cut off.
set -eu
. tests/process/fleet.sh
standard_fleet run/rolling 24000
load 60 0.2 --list-keys >"$FLEET/load.txt" 2>&1 &
LOAD=$!
wait_until 20 test -s "$FLEET/runs.log"
gone() { ! kill -0 "${FLEET_PID[$1]}"; }
for i in 1 2 3; do
  signal_process entry-$i TERM
  wait_until 60 gone entry-$i
  unset "FLEET_PID[entry-$i]"
  grep -q 'event=stopped' "$FLEET/logs/entry-$i.log" || fail "entry-$i did not stop gracefully"
  start_entry $i
  wait_serving $i
  # Stop the next host only when every entry host knows all servers.
  wait_servers profile 4
done
for i in 1 2 3; do
  signal_process control-$i TERM
  wait_until 60 gone control-$i
  unset "FLEET_PID[control-$i]"
  start_control $i
  wait_until 60 leader_of 0
  wait_until 60 leader_of 1
done
wait "$LOAD" || fail "a caller received a wrong response: $(cat "$FLEET/load.txt")"
check_load "$FLEET/load.txt"
grep -q ' unanswered=0 ' "$FLEET/load.txt" || fail "a request got no response"
echo PASSED
