#!/usr/bin/env bash
# SIGHUP while a daemon still reads its settings must not end it.
set -eu
folder=run/signal-at-start
rm -rf "$folder"
mkdir -p "$folder"
mkfifo "$folder/settings.yaml"
build/programs/fuchsiarampd --settings "$folder/settings.yaml" >"$folder/log" 2>&1 &
pid=$!
trap 'kill -KILL $pid 2>/dev/null || true' EXIT
# Opening for writing returns once the daemon has opened the file to read it.
exec 3>"$folder/settings.yaml"
kill -HUP $pid
sleep 0.3
kill -0 $pid || { echo "FAILED: the daemon ended on SIGHUP" >&2; exit 1; }
echo PASSED
