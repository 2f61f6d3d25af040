#!/usr/bin/env bash
# SIGTERM comes while the daemon can't look at it: the grace period counts from
# the signal. A settings file that can't be read at once stands for the stall.
set -eu
. tests/process/fleet.sh
GRACE_SECONDS=6
FLEET_EXTRA="grace_period: ${GRACE_SECONDS}s"
fleet_prepare run/shutdown-signal-while-busy 28350 1 1
trap fleet_stop EXIT
start_entry 1
answers() { status_of "$(entry_address 1)" | grep -q '"role":"entry"'; }
wait_until 20 answers
settings="$FLEET/settings/entry-1.yaml"
mv "$settings" "$settings.old"
mkfifo "$settings"
signal_process entry-1 HUP
# Opening for writing returns once the daemon has opened the file to read it.
exec 3>"$settings"
signal_process entry-1 TERM
gone() { ! kill -0 "${FLEET_PID[entry-1]}"; }
sleep 2
cp "$settings.old" "$settings.new"
mv "$settings.new" "$settings"
cat "$settings.old" >&3
exec 3>&-
wait_until $((GRACE_SECONDS - 2)) gone || fail "the daemon was still there at the end of its grace period"
echo PASSED
