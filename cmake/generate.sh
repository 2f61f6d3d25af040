#!/usr/bin/env bash
# Regenerates the committed protobuf code after a change of wire/fleet.proto.
set -eu
cd "$(dirname "$0")/../packages/wire"
protoc --cpp_out=generated fleet.proto
