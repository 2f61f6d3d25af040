#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x review/build-2/odd_heartbeat_at_an_address ] || exit 2
exec timeout -k 5 118 review/build-2/odd_heartbeat_at_an_address "$here"
