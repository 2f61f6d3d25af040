#!/usr/bin/env bash
# Measures real daemons on loopback: added latency, CPU time per request, and the
# CPU time, memory and message bytes of idle daemons.
set -eu
cd "$(dirname "$0")/.."
. tests/process/fleet.sh
fleet_prepare run/bench 26000 3 3
trap fleet_stop EXIT
for i in 1 2 3; do start_control $i; start_entry $i; done
start_backend 1 profile --slots 64
put_lists samples/demo-lists.yaml 0
wait_version 1
wait_servers profile 1
curl -s -X PUT "http://$(backend_address 1)/fake?latency_ms=0" >/dev/null
metric() { curl -s "http://$1/.well-known/fuchsiaramp/metrics" | sed -n "s/^fuchsiaramp_$2 //p"; }
sleep 3
echo "== idle for 20 s: CPU seconds, message bytes sent and received, resident bytes"
declare -A cpu sent received
for host in entry control; do
  address=$(${host}_address 1)
  cpu[$host]=$(metric $address cpu_seconds)
  sent[$host]=$(metric $address messages_sent_bytes)
  received[$host]=$(metric $address messages_received_bytes)
done
sleep 20
for host in entry control; do
  address=$(${host}_address 1)
  echo "$host: $(metric $address cpu_seconds) - ${cpu[$host]}, $(metric $address messages_sent_bytes) - ${sent[$host]}, $(metric $address messages_received_bytes) - ${received[$host]}, $(metric $address resident_bytes)"
done
echo "== added latency, 5000 requests each, one at a time"
before=$(metric "$(entry_address 1)" cpu_seconds)
"$FLEET_BIN"/bench/latency_bench "$(backend_address 1)" "$(entry_address 1)" demo-token 5000
echo "CPU seconds of the entry host for 5000 requests: $(metric "$(entry_address 1)" cpu_seconds) - $before"
