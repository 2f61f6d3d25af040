#!/usr/bin/env bash
# A settings file that can't be read any more must not end a running daemon.
set -eu
. tests/process/fleet.sh
fleet_prepare run/settings-unreadable 28300 1 1
trap fleet_stop EXIT
start_entry 1
answers() { status_of "$(entry_address 1)" | grep -q '"role":"entry"'; }
wait_until 20 answers
settings="$FLEET/settings/entry-1.yaml"
mv "$settings" "$settings.old"
mkdir "$settings"
signal_process entry-1 HUP
sleep 3
answers || fail "the daemon ended"
rmdir "$settings"
mv "$settings.old" "$settings"
signal_process entry-1 HUP
wait_until 5 grep -q event=settings_reloaded "$FLEET/logs/entry-1.log" || fail "the settings were not reloaded"
echo PASSED
