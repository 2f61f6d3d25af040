#!/usr/bin/env bash
# Bad input is refused with a specific error and does not affect other callers:
# malformed HTTP, tokens, idempotency keys, announcements, settings and untrusted
# CURVE keys.
set -eu
. tests/process/fleet.sh
standard_fleet run/refusals 25000
entry=$(entry_address 1)

# expect STATUS DESCRIPTION CURL_ARGUMENT...: checks the status of a request.
expect() {
  local status=$1 what=$2 got
  shift 2
  got=$(curl -s -o "$FLEET/body.txt" -w '%{http_code}' --max-time 10 "$@")
  [ "$got" = "$status" ] || fail "$what: got status $got, expected $status: $(cat "$FLEET/body.txt")"
  echo "ok: $what"
}
# raw DESCRIPTION PATTERN BYTES: sends bytes on a TCP connection and checks the
# response.
raw() {
  local response
  exec 9<>"/dev/tcp/${entry%:*}/${entry#*:}"
  # In one write, because the server may close as soon as it sees the error.
  printf "$3" >"$FLEET/raw.txt"
  cat "$FLEET/raw.txt" >&9
  response=$(timeout 5 head -c 400 <&9 || true)
  exec 9>&-
  echo "$response" | grep -q "$2" || fail "$1: expected '$2', got: $response"
  echo "ok: $1"
}
host=(-H 'Host: profile')
token=(-H 'Authorization: Bearer demo-token')
expect 401 "no token" "${host[@]}" "http://$entry/read/x"
expect 401 "a wrong token" "${host[@]}" -H 'Authorization: Bearer other' "http://$entry/read/x"
expect 403 "a path without a route" "${host[@]}" "${token[@]}" "http://$entry/other"
expect 403 "an unknown service" -H 'Host: nothing' "${token[@]}" "http://$entry/read/x"
expect 400 "no key on a route that may not be repeated" -X POST "${host[@]}" "${token[@]}" "http://$entry/once/x"
expect 200 "a first use of a key" -X POST "${host[@]}" "${token[@]}" -H 'Idempotency-Key: k1' -d a "http://$entry/once/x"
expect 422 "the key with another body" -X POST "${host[@]}" "${token[@]}" -H 'Idempotency-Key: k1' -d b "http://$entry/once/x"
head -c 2000000 /dev/zero >"$FLEET/large"
expect 413 "a body over the limit" -X POST "${host[@]}" "${token[@]}" --data-binary "@$FLEET/large" -H 'Expect:' "http://$entry/read/x"
expect 431 "a header over the limit" "${host[@]}" -H "X: $(head -c 20000 /dev/zero | tr '\0' a)" "http://$entry/read/x"
raw "two lengths" "400 Bad Request" 'POST /read/x HTTP/1.1\r\nHost: profile\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef'
raw "length and chunks" "400 Bad Request" 'POST /read/x HTTP/1.1\r\nHost: profile\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
raw "chunks and length" "400 Bad Request" 'POST /read/x HTTP/1.1\r\nHost: profile\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n'
raw "no request at all" "400 Bad Request" 'garbage\r\n\r\n'
raw "a space before the colon" "400 Bad Request" 'GET /read/x HTTP/1.1\r\nHost : profile\r\n\r\n'
raw "two hosts" "400 Bad Request" 'GET /read/x HTTP/1.1\r\nHost: profile\r\nHost: other\r\nConnection: close\r\n\r\n'
system="http://$entry/.well-known/fuchsiaramp"
expect 404 "an unknown system path" "$system/nothing"
expect 400 "an address query without a service" "$system/entry-hosts"
expect 400 "a broken announcement" -X PUT -d '{"service":' "$system/backend-servers/s"
expect 400 "an announcement without slots" -X PUT -d '{"service":"p","address":"127.0.0.1:1","region":"r","failure_domain":"d","incarnation":1,"state":"up"}' "$system/backend-servers/s"
expect 400 "an announcement of a host name" -X PUT -d '{"service":"p","address":"a:1","region":"r","failure_domain":"d","incarnation":1,"slots":1,"state":"up"}' "$system/backend-servers/s"

echo "== bad settings and lists"
printf 'host: x\nrole: entry\ncolour: red\n' >"$FLEET/bad.yaml"
code=0
"$FLEET_BIN"/programs/fuchsiarampd --settings "$FLEET/bad.yaml" 2>"$FLEET/findings.txt" || code=$?
[ $code -eq 2 ] && grep -q "bad.yaml:3:1: unknown key 'colour'" "$FLEET/findings.txt" || fail "bad settings: exit code $code, expected 2 and the finding of 'colour': $(cat "$FLEET/findings.txt")"
code=0
client lists put samples/demo-lists.yaml --expected-version 0 2>/dev/null || code=$?
[ $code -eq 3 ] || fail "a stale version: exit code $code, expected 3"
printf 'plans: [\n' >"$FLEET/broken.yaml"
code=0
client lists put "$FLEET/broken.yaml" --expected-version 1 2>/dev/null || code=$?
[ $code -eq 1 ] || fail "broken lists: exit code $code, expected 1"

echo "== messages of a host with an untrusted key are refused"
"$FLEET_BIN"/programs/fuchsiaramp keys >"$FLEET/keys/entry-9"
sed -n 's/^secret //p' "$FLEET/keys/entry-9" >"$FLEET/keys/entry-9.secret"
write_settings entry 9
start_entry 9
refused() { curl -s "http://$(control_address 1)/.well-known/fuchsiaramp/metrics" "$system/metrics" | grep -q 'refused_keys_total [1-9]'; }
wait_until 30 refused
status_of "$entry" | grep -q entry-9 && fail "the host with the untrusted key became a member"
is_serving 9 && fail "the host with the untrusted key serves"

echo "== other callers are not affected"
load 2 0.2 --list-keys >"$FLEET/load.txt"
check_load "$FLEET/load.txt"
grep -q ' not_run=0 unknown=0 unanswered=0 ' "$FLEET/load.txt" || fail "requests of other callers were not all answered"
echo PASSED
