#!/usr/bin/env bash
# Regenerates the committed protobuf code. Run it after changing
# packages/wire/fleet.proto.
set -eu
cd "$(dirname "$0")/../packages/wire"
protoc --cpp_out=generated fleet.proto
