# Functions that start and stop a small fleet on loopback, for the demo and the
# process tests. This file is sourced. It ends only processes that it started, by
# process id.

FLEET_BIN="$PWD/build"
declare -A FLEET_PID=()

# fleet_prepare FOLDER FIRST_PORT CONTROL_HOSTS ENTRY_HOSTS
fleet_prepare() {
  FLEET="$PWD/$1" FLEET_PORT=$2 FLEET_CONTROLS=$3 FLEET_ENTRIES=$4
  rm -rf "$FLEET"
  mkdir -p "$FLEET"/{logs,settings,keys,data}
  local i name
  for name in $(fleet_hosts); do
    "$FLEET_BIN"/programs/fuchsiaramp keys >"$FLEET/keys/$name"
    sed -n 's/^secret //p' "$FLEET/keys/$name" >"$FLEET/keys/$name.secret"
  done
  for i in $(seq "$FLEET_CONTROLS"); do write_settings control $i; done
  for i in $(seq "$FLEET_ENTRIES"); do write_settings entry $i; done
}

fleet_hosts() {
  local i
  for i in $(seq "$FLEET_CONTROLS"); do echo control-$i; done
  for i in $(seq "$FLEET_ENTRIES"); do echo entry-$i; done
}

control_address() { echo "127.0.0.1:$((FLEET_PORT + $1))"; }
entry_address() { echo "127.0.0.1:$((FLEET_PORT + 100 + $1))"; }
message_address() {
  case $1 in
    control) echo "127.0.0.1:$((FLEET_PORT + 200 + $2))" ;;
    entry) echo "127.0.0.1:$((FLEET_PORT + 300 + $2))" ;;
  esac
}
backend_address() { echo "127.0.0.1:$((FLEET_PORT + 400 + $1))"; }
public_key() { sed -n 's/^public //p' "$FLEET/keys/$1"; }

# Replaces the address of a peer, to put a forwarder between two hosts:
# FLEET_ROUTE["entry-1>control-2"]=IP:PORT
declare -A FLEET_ROUTE=()
peer_line() { # FROM ROLE NUMBER
  local address=${FLEET_ROUTE["$1>$2-$3"]:-$(message_address $2 $3)}
  printf "  - {host: %s-%s, message_address: '%s', public_key: '%s'}\n" \
    "$2" "$3" "$address" "$(public_key $2-$3)"
}

write_settings() { # ROLE NUMBER
  local name=$1-$2 address i
  if [ $1 = control ]; then address=$(control_address $2); else address=$(entry_address $2); fi
  {
    echo "host: $name"
    echo "role: $1"
    echo "region: r$(( ($2 - 1) % 3 + 1 ))"
    echo "failure_domain: r$(( ($2 - 1) % 3 + 1 ))-a"
    echo "caller_address: $address"
    echo "message_address: $(message_address $1 $2)"
    echo "log_level: ${FLEET_LOG_LEVEL:-INFO}"
    echo "address_lifetime: ${FLEET_ADDRESS_LIFETIME:-2s}"
    [ $1 = control ] && echo "data_folder: $FLEET/data/$name"
    echo "keys:"
    echo "  public: '$(public_key $name)'"
    echo "  secret_file: $FLEET/keys/$name.secret"
    echo "  trusted:"
    for i in $(fleet_hosts); do echo "    - '$(public_key $i)'"; done
    echo "control_hosts:"
    for i in $(seq "$FLEET_CONTROLS"); do peer_line $name control $i; done
    if [ $1 = entry ]; then
      echo "seeds:"
      for i in 1 2; do [ $i -le "$FLEET_ENTRIES" ] && peer_line $name entry $i; done
    fi
    [ -n "${FLEET_EXTRA:-}" ] && echo "$FLEET_EXTRA"
    true
  } >"$FLEET/settings/$name.yaml"
}

start_process() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$FLEET/logs/$name.log" 2>&1 &
  FLEET_PID[$name]=$!
}

# FLEET_DAEMON selects another build of the daemon.
start_daemon() { start_process $1 "${FLEET_DAEMON:-$FLEET_BIN/programs/fuchsiarampd}" --settings "$FLEET/settings/$1.yaml"; }
start_control() { start_daemon control-$1; }
start_entry() { start_daemon entry-$1; }
start_backend() { # NUMBER SERVICE [ARGUMENT...]
  local number=$1 service=$2 entries=() i
  shift 2
  for i in $(seq "$FLEET_ENTRIES"); do entries+=(--entry "$(entry_address $i)"); done
  start_process backend-$number "$FLEET_BIN"/tests/support/fake_backend \
    --id "server-$number" --service "$service" --address "$(backend_address $number)" \
    --region r$(( (number - 1) % 3 + 1 )) --domain r$(( (number - 1) % 3 + 1 ))-a \
    --run-log "$FLEET/runs.log" "${entries[@]}" "$@"
}

signal_process() { kill -"$2" "${FLEET_PID[$1]}"; } # NAME SIGNAL
end_process() { # NAME: kills the process and waits until it has ended
  kill -KILL "${FLEET_PID[$1]}" 2>/dev/null || true
  wait "${FLEET_PID[$1]}" 2>/dev/null || true
  unset "FLEET_PID[$1]"
}

fleet_stop() {
  local name
  # A child that is ended by a signal before it has become the program that it is
  # to run executes the EXIT trap of its parent.
  [ "$BASHPID" = $$ ] || return 0
  for name in "${!FLEET_PID[@]}"; do
    kill -CONT "${FLEET_PID[$name]}" 2>/dev/null || true
    end_process "$name"
  done
}

control_arguments() {
  local i
  for i in $(seq "$FLEET_CONTROLS"); do echo --control "$(control_address $i)"; done
}
entry_arguments() {
  local i
  for i in $(seq "$FLEET_ENTRIES"); do echo --entry "$(entry_address $i)"; done
}
client() { "$FLEET_BIN"/programs/fuchsiaramp $(control_arguments) $(entry_arguments) "$@"; }
put_lists() { client lists put "$1" --expected-version "$2" --timeout 60; } # FILE VERSION

# wait_until SECONDS COMMAND...: waits until the command succeeds; fails after
# about SECONDS.
wait_until() {
  local tries=$(($1 * 5))
  shift
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    if [ $tries -le 0 ]; then
      echo "condition not met in time: $*" >&2
      return 1
    fi
    sleep 0.2
  done
}

status_of() { curl -s --max-time 2 "http://$1/.well-known/fuchsiaramp/status"; }
is_serving() { status_of "$(entry_address $1)" | grep -q '"serving":true'; }
has_version() { status_of "$(entry_address $1)" | grep -q "\"lists_version\":$2,"; }
wait_serving() { local i; for i in "$@"; do wait_until 60 is_serving $i; done; }
wait_version() { local i; for i in $(seq "$FLEET_ENTRIES"); do wait_until 60 has_version $i $1; done; }
servers_known() { # ENTRY SERVICE COUNT
  [ "$(curl -s --max-time 2 "http://$(entry_address $1)/.well-known/fuchsiaramp/backend-servers" |
    grep -o "\"service\":\"$2\"" | wc -l)" -ge "$3" ]
}
wait_servers() { local i; for i in $(seq "$FLEET_ENTRIES"); do wait_until 60 servers_known $i "$1" "$2"; done; }
leader_of() { # GROUP: prints the number of the control host that leads it
  local i
  for i in $(seq "$FLEET_CONTROLS"); do
    status_of "$(control_address $i)" | grep -q "\"group\":$1,\"leader\":\"control-$i\",\"leads\":true" && { echo $i; return; }
  done
  return 1
}
find_leader() { # GROUP: waits for a leader, prints its number
  local tries=150
  until leader_of "$1"; do
    tries=$((tries - 1))
    if [ $tries -le 0 ]; then
      echo "group $1 has no leader" >&2
      return 1
    fi
    sleep 0.2
  done
}

call() { # ENTRY METHOD PATH [CURL ARGUMENT...]
  local entry=$1 method=$2 path=$3
  shift 3
  curl -s --max-time 20 -X "$method" -H 'Host: profile' -H 'Authorization: Bearer demo-token' \
    -w '%{http_code}\n' -D - "$@" "http://$(entry_address $entry)$path" | grep -v '^.$'
}
load() { # SECONDS KEYED_SHARE [ARGUMENT...]
  local seconds=$1 keyed=$2
  shift 2
  "$FLEET_BIN"/tests/support/load_caller $(entry_arguments) --service profile \
    --token demo-token --seconds "$seconds" --keyed "$keyed" "$@"
}
double_runs() { cut -d' ' -f1 "$FLEET/runs.log" | sort | uniq -d | wc -l; }

fail() {
  echo "FAILED: $*" >&2
  tail -n 5 "$FLEET"/logs/*.log >&2
  exit 1
}

# check_load RESULT_FILE: checks that no response was wrong, that no key ran
# twice, that no key with the outcome not-run appears in the run log, and that
# every key with the outcome answered does.
check_load() {
  cat "$1" | grep -v '^key_'
  grep -q ' wrong=0 ' "$1" || fail "a caller received a wrong response"
  [ "$(double_runs)" -eq 0 ] || fail "a key ran twice"
  sed -n 's/^key_not_run=//p' "$1" | sort -u >"$FLEET/not_run.txt"
  cut -d' ' -f1 "$FLEET/runs.log" | sort -u >"$FLEET/ran.txt"
  [ -z "$(comm -12 "$FLEET/not_run.txt" "$FLEET/ran.txt")" ] || fail "a key with the outcome not-run was executed"
  sed -n 's/^key_answered=//p' "$1" | sort -u >"$FLEET/answered.txt"
  [ -z "$(comm -23 "$FLEET/answered.txt" "$FLEET/ran.txt")" ] || fail "a key with the outcome answered was not executed"
}

# standard_fleet FOLDER PORT: starts 3 control hosts, 3 entry hosts and 4 backend
# servers, and puts the demo lists.
standard_fleet() {
  fleet_prepare "$1" "$2" 3 3
  trap fleet_stop EXIT
  local i
  for i in 1 2 3; do start_control $i; start_entry $i; done
  for i in 1 2 3 4; do start_backend $i profile; done
  put_lists samples/demo-lists.yaml 0 || fail "the lists were not accepted"
  wait_version 1
  wait_serving 1 2 3
  wait_servers profile 4
}
