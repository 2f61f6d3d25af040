#!/usr/bin/env bash
# An earlier build is replaced by this one, host by host under load, and then the
# other way round. Messages, logs and snapshots of each build are read by the
# other: the lists change while both run, a control host joins with an empty disk,
# hosts pause, and at the end all control hosts of the earlier build start on what
# this one wrote. Every request gets a true response and no key runs twice.
set -eu
. tests/process/fleet.sh
OLD=$PWD/$(bash tests/process/build_old.sh)
NEW=$FLEET_BIN/programs/fuchsiarampd
fleet_prepare run/mixed 27000 3 4
trap fleet_stop EXIT
HOSTS="control-1 entry-1 control-2 entry-2 control-3 entry-3 entry-4"
FLEET_DAEMON=$OLD
for host in $HOSTS; do start_daemon $host; done
for i in 1 2 3 4; do start_backend $i profile --arrival-log "$FLEET/arrivals-$i"; done
put_lists samples/demo-lists.yaml 0 || fail "the lists were not accepted"
VERSION=1
wait_version 1
wait_serving 1 2 3 4
wait_servers profile 4

load 150 0.5 --list-keys >"$FLEET/load.txt" 2>&1 &
LOAD=$!
has_snapshot() { find "$FLEET/data" -name '*snapshot*' -size +10k | grep -q .; }
wait_until 60 has_snapshot

change_lists() {
  put_lists samples/demo-lists$([ $((VERSION % 2)) = 1 ] && echo -2).yaml $VERSION || fail "a change of the lists was not accepted while both builds run"
  VERSION=$((VERSION + 1))
  wait_version $VERSION
}
gone() { ! kill -0 "${FLEET_PID[$1]}" 2>/dev/null; }
all_voters() {
  [ "$(status_of "$(control_address "$(leader_of 0)")" | grep -o '"voter":true' | wc -l)" -eq 6 ]
}
# replace_by DAEMON EMPTIED_CONTROL_HOST: replaces all hosts, one after the other
replace_by() {
  local host daemon=$1 emptied=$2
  for host in $HOSTS; do
    signal_process $host TERM
    wait_until 60 gone $host
    wait "${FLEET_PID[$host]}" || fail "$host did not stop gracefully"
    [ $host != $emptied ] || rm -rf "$FLEET/data/$host"
    FLEET_DAEMON=$daemon start_daemon $host
    case $host in
      entry-*)
        wait_serving ${host#entry-}
        wait_servers profile 4
        ;;
      *)
        wait_until 60 leader_of 0
        wait_until 60 leader_of 1
        wait_until 60 all_voters
        ;;
    esac
    if [ $host = entry-1 ]; then
      signal_process entry-2 STOP
      sleep 0.7
      signal_process entry-2 CONT
    fi
    case $host in control-2 | entry-2 | entry-4) change_lists ;; esac
  done
}

echo "== from the earlier build to this one"
replace_by "$NEW" control-2
curl -s --max-time 5 -X PUT "http://$(backend_address 1)/fake?limit=1" || fail "server 1 cannot be reached"
sleep 3
FROM=$(date +%s%3N)
sleep 4
GOT=$(awk -v a=$FROM '$1 >= a' "$FLEET/arrivals-1" | wc -l)
echo "after the change, a server that names a limit of 1 gets $GOT requests in 4 s"
[ "$GOT" -le 11 ] || fail "the limit of a server does not hold after the replacement"
echo "== and back"
replace_by "$OLD" control-3
curl -s --max-time 5 -X PUT "http://$(backend_address 1)/fake?limit=-1" || fail "server 1 cannot be reached"
for i in 1 2 3; do end_process control-$i; done
for i in 1 2 3; do FLEET_DAEMON=$OLD start_daemon control-$i; done
wait_until 60 leader_of 0
wait_until 60 leader_of 1
change_lists
kill -0 $LOAD 2>/dev/null || fail "the load ended before the replacement did"
wait "$LOAD" || fail "a caller received a wrong response: $(head -1 "$FLEET/load.txt")"
check_load "$FLEET/load.txt"
grep -q ' unanswered=0 ' "$FLEET/load.txt" || fail "a request got no response"
echo PASSED
