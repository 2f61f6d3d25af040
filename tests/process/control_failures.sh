#!/usr/bin/env bash
# Failures of control hosts under load: the leader of the ledger is killed, the
# leader of the lists is stopped and resumed, a data folder is emptied, and a
# second host is killed right after the group has recovered. No acknowledged
# change may be lost and no key may run twice.
set -eu
. tests/process/fleet.sh
standard_fleet run/control 23000
load 25 0.5 --list-keys >"$FLEET/load.txt" 2>&1 &
LOAD=$!
wait_until 20 test -s "$FLEET/runs.log"

echo "== kill the leader of the ledger"
killed=$(find_leader 1)
end_process control-$killed
wait_until 30 leader_of 1
start_control $killed

echo "== stop the leader of the lists, change the lists, resume it"
frozen=$(find_leader 0)
signal_process control-$frozen STOP
put_lists samples/demo-lists-2.yaml 1 || fail "a lists change was not accepted while the old leader was stopped"
wait_until 30 has_version 1 2
signal_process control-$frozen CONT
sleep 1
for i in 1 2 3; do
  wait_until 30 has_version $i 2
done

echo "== empty a data folder, then kill another host right after the recovery"
all_voters() {
  local leader
  leader=$(leader_of 0) || return 1
  [ "$(status_of "$(control_address $leader)" | grep -o '"voter":true' | wc -l)" -eq 6 ]
}
wait_until 30 all_voters
leader=$(find_leader 1)
emptied=$((leader % 3 + 1))
# One disk a group.
status_of "$(control_address 1)" | grep -o "\"host\":\"control-$emptied\",\"disk\":\"[0-9]*\"" >"$FLEET/old_disks"
[ "$(wc -l <"$FLEET/old_disks")" -eq 2 ] || fail "control-$emptied is not a member of both groups"
end_process control-$emptied
rm -rf "$FLEET/data/control-$emptied"
start_control $emptied
replaced() {
  local group leader
  for group in 0 1; do
    leader=$(leader_of $group) || return 1
    ! status_of "$(control_address $leader)" | grep -qFf "$FLEET/old_disks" || return 1
  done
  all_voters
}
wait_until 60 replaced
second=$(find_leader 1)
end_process control-$second
put_lists samples/demo-lists.yaml 2 || fail "a lists change was not accepted: the emptied host did not become a voter again"
start_control $second

wait "$LOAD" || fail "a caller received a wrong response: $(cat "$FLEET/load.txt")"
check_load "$FLEET/load.txt"
for i in 1 2 3; do
  wait_until 30 has_version $i 3
done
echo "== every change is in the history"
[ "$(client lists history | wc -l)" -eq 4 ] || fail "the history lacks a change"
echo PASSED
