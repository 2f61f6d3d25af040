#!/usr/bin/env bash
# A server names a limit, changes it and stops naming it, under load and while
# entry hosts are paused, killed and stopped. What reaches it in each 4 s, from
# all entry hosts, stays within the users' bound from 3 s after the first notice.
set -eu
. tests/process/fleet.sh
fleet_prepare run/limit 26000 3 4
trap fleet_stop EXIT
for i in 1 2 3; do start_control $i; done
for i in 1 2 3 4; do start_entry $i; done
for i in 1 2 3 4; do start_backend $i profile --arrival-log "$FLEET/arrivals-$i"; done
put_lists samples/demo-lists.yaml 0 || fail "the lists were not accepted"
wait_version 1
wait_serving 1 2 3 4
wait_servers profile 4
now_ms() { date +%s%3N; }
name_limit() { # SERVER RATE
  curl -s --max-time 5 -X PUT "http://$(backend_address $1)/fake?limit=$2" || fail "server $1 cannot be reached"
}
# arrivals SERVER FROM_MS TO_MS: the number of requests between the two times
arrivals() { awk -v a=$2 -v b=$3 '$1 >= a && $1 < b' "$FLEET/arrivals-$1" | wc -l; }
# check_limit SERVER RATE FROM_MS TO_MS: checks each window of 4 s between
check_limit() {
  local most
  most=$(awk -v a=$3 -v b=$4 'BEGIN { n = 0; f = 0; m = 0 } $1 >= a && $1 < b { t[n++] = $1; while (t[n-1] - t[f] >= 4000) f++; if (n - f > m) m = n - f } END { print m }' "$FLEET/arrivals-$1")
  echo "limit $2: at most $most requests in 4 s"
  awk -v m=$most -v r=$2 'BEGIN { exit !(m <= 1.5 * r * 4 + 5) }' || fail "server $1 named a limit of $2 and got $most requests in 4 s"
}

load 40 0.2 --list-keys >"$FLEET/load.txt" 2>&1 &
LOAD=$!
wait_until 20 test -s "$FLEET/arrivals-1"
sleep 2
BEFORE=$(arrivals 1 $(($(now_ms) - 1000)) "$(now_ms)")
name_limit 1 2
FIRST=$(now_ms)
sleep 4
signal_process entry-1 STOP
sleep 2
signal_process entry-1 CONT
end_process entry-2
sleep 1
start_entry 2
sleep 3
name_limit 1 0.5
SECOND=$(now_ms)
sleep 3
signal_process entry-3 TERM
sleep 2
signal_process entry-4 STOP
sleep 1
signal_process entry-4 CONT
sleep 5
name_limit 1 -1
THIRD=$(now_ms)
check_limit 1 2 $((FIRST + 3000)) $SECOND
check_limit 1 0.5 $((SECOND + 3000)) $THIRD
[ "$(arrivals 1 $((FIRST + 3000)) $THIRD)" -ge 5 ] || fail "the server got less than it asked for"
wait "$LOAD" || fail "a caller received a wrong response: $(cat "$FLEET/load.txt")"
check_load "$FLEET/load.txt"
AFTER=$(arrivals 1 $((THIRD + 10000)) $((THIRD + 11000)))
echo "requests per second before the limit $BEFORE, 10 s after it $AFTER"
[ $((AFTER * 3)) -ge "$BEFORE" ] || fail "the load did not return after the limit ended"
echo PASSED
