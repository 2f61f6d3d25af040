#!/usr/bin/env bash
# A planned stop while a request waits for a server that does not answer, and
# longer than the grace period: the request must get a response, and the entry
# host must end by itself within its grace period.
set -eu
. tests/process/fleet.sh
GRACE_SECONDS=6
FLEET_EXTRA="grace_period: ${GRACE_SECONDS}s"
standard_fleet run/shutdown-silent-server 28000
for i in 1 2 3 4; do signal_process backend-$i STOP; done
call 1 GET /read/held >"$FLEET/held.txt" &
CALL=$!
sleep 0.5
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
