#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review/case-$number"
done
