#!/usr/bin/env bash
# The control hosts under failure: the leader of the ledger killed, the leader
# of the lists frozen, a data folder emptied and a second host killed right
# after the repair. Nothing acknowledged is lost and no key runs twice.
set -eu
. tests/process/fleet.sh
standard_fleet run/control 23000
load 25 0.5 --list-keys >"$FLEET/load.txt" 2>&1 &
LOAD=$!
wait_until 20 test -s "$FLEET/runs.log"

echo "== kill the leader of the ledger"
killed=$(leader_of 1)
end_process control-$killed
wait_until 30 leader_of 1
start_control $killed

echo "== freeze the leader of the lists, change them, thaw it"
wait_until 30 leader_of 0
frozen=$(leader_of 0)
signal_process control-$frozen STOP
put_lists samples/demo-lists-2.yaml 1 || fail "a change was not accepted while the old leader was frozen"
wait_until 30 has_version 1 2
signal_process control-$frozen CONT
sleep 1
for i in 1 2 3; do
  wait_until 30 has_version $i 2
done

echo "== empty a data folder, then kill another host right after the repair"
all_voters() {
  [ "$(status_of "$(control_address $(leader_of 0))" | grep -o '"voter":true' | wc -l)" -eq 6 ]
}
wait_until 30 all_voters
emptied=$(( $(leader_of 1) % 3 + 1 ))
old_disk=$(status_of "$(control_address 1)" | grep -o "\"host\":\"control-$emptied\",\"disk\":\"[0-9]*\"" | sort -u | head -1)
end_process control-$emptied
rm -rf "$FLEET/data/control-$emptied"
start_control $emptied
replaced() {
  local status
  status=$(status_of "$(control_address $(leader_of 1))")
  ! echo "$status" | grep -q "$old_disk" && all_voters
}
wait_until 60 replaced
second=$(leader_of 1)
end_process control-$second
put_lists samples/demo-lists.yaml 2 || fail "the emptied host did not take its place as a voter"
start_control $second

wait "$LOAD" || fail "the callers saw a wrong answer: $(cat "$FLEET/load.txt")"
check_load "$FLEET/load.txt"
for i in 1 2 3; do
  wait_until 30 has_version $i 3
done
echo "== every change is in the history"
[ "$(client lists history | wc -l)" -eq 4 ] || fail "the history lost a change"
echo PASSED
