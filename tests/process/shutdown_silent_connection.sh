#!/usr/bin/env bash
# A planned stop while a request waits on a connection on which its bytes were lost,
# and longer than the grace period: the request must get a response, and the
# entry host must end by itself within its grace period.
set -eu
. tests/process/fleet.sh
GRACE_SECONDS=6
FLEET_EXTRA="grace_period: ${GRACE_SECONDS}s"
fleet_prepare run/shutdown-silent-connection 21000 3 2
trap fleet_stop EXIT
for i in 1 2 3; do start_control $i; done
for i in 1 2; do start_entry $i; done
proxy="127.0.0.1:$((FLEET_PORT + 501))"
start_process proxy-1 "$FLEET_BIN"/tests/support/faulty_proxy \
  --listen "$proxy" --to "$(backend_address 1)" --mode-file "$FLEET/proxy-1.mode"
start_backend 1 profile --announce "$proxy"
put_lists samples/demo-lists.yaml 0 || fail "the lists were not accepted"
wait_version 1
wait_serving 1 2
wait_servers profile 1
echo one-way >"$FLEET/proxy-1.mode"
sleep 0.3
call 1 POST /once/held -H 'Idempotency-Key: held' -d body >"$FLEET/held.txt" &
CALL=$!
sleep 0.7
rm "$FLEET/proxy-1.mode"
signal_process entry-1 TERM
gone() { ! kill -0 "${FLEET_PID[entry-1]}"; }
stopped=yes
wait_until $GRACE_SECONDS gone || stopped=no
end_process entry-1
wait "$CALL" || true
cat "$FLEET/held.txt"
[ $stopped = yes ] || fail "the entry host was still there at the end of its grace period"
grep -qi '^fuchsiaramp-outcome:' "$FLEET/held.txt" || fail "the request got no response"
echo PASSED
