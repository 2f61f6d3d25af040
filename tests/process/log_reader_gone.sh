#!/usr/bin/env bash
# A daemon whose log reader has ended must go on serving and still obey a stop;
# one that can't start must end while its log reader stands still.
set -eu
. tests/process/fleet.sh
fleet_prepare run/log-reader-gone 29000 1 0
trap 'fleet_stop; [ -z "${READER:-}" ] || kill -KILL $READER 2>/dev/null || true' EXIT
mkfifo "$FLEET/log"

echo "== the reader ends"
head -c 1 "$FLEET/log" >/dev/null &
READER=$!
"$FLEET_BIN"/programs/fuchsiarampd --settings "$FLEET/settings/control-1.yaml" >"$FLEET/log" 2>&1 &
FLEET_PID[control-1]=$!
wait "$READER" || true
wait_until 20 leader_of 0 || fail "the daemon does not serve"
# Logs a line for each change.
put_lists samples/demo-lists.yaml 0 || fail "the lists were not accepted"
gone() { ! kill -0 "${FLEET_PID[control-1]}"; }
signal_process control-1 TERM
wait_until 10 gone || fail "the daemon did not stop"
wait "${FLEET_PID[control-1]}" || fail "the daemon ended with status $?"
unset "FLEET_PID[control-1]"

echo "== invalid settings while the reader stands still"
sleep 60 <"$FLEET/log" &
READER=$!
# The pipe is filled to the last byte first.
exec 3>"$FLEET/log"
timeout 2 cat /dev/zero >&3 || true
echo "no_such_key: 1" >>"$FLEET/settings/control-1.yaml"
status=0
timeout 10 "$FLEET_BIN"/programs/fuchsiarampd --settings "$FLEET/settings/control-1.yaml" >&3 2>&3 || status=$?
exec 3>&-
[ $status -eq 2 ] || fail "the daemon ended with status $status"
echo PASSED
