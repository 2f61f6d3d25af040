#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into review/build-2/, after the build of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/build-2
echo '*' >review/build-2/.gitignore
for source in review/{6,7,8,9,10}/*.cc; do
  [ -e "$source" ] || continue
  ${CXX:-c++} -std=c++20 -O1 -Wall -Wextra \
    "$source" -o "review/build-2/$(basename "$source" .cc)" -pthread
done
