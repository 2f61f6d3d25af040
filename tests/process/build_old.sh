#!/usr/bin/env bash
# Builds the daemon of an earlier commit for the test of mixed builds, in
# run/old-build/COMMIT, unless it stands there already.
#
#   bash tests/process/build_old.sh [COMMIT]
set -eu
cd "$(dirname "$0")/../.."
# The commit that was landed before the current work.
commit=$(git rev-parse --verify "${1:-a80405b2a696ad0c8d9f4bef0927758851325aaa}^{commit}" 2>/dev/null) || {
  echo "the earlier commit ${1:-a80405b2a696ad0c8d9f4bef0927758851325aaa} is not in this checkout; a full clone is needed" >&2
  exit 1
}
folder=run/old-build/$commit
mkdir -p run/old-build
if [ ! -x "$folder/build/programs/fuchsiarampd" ]; then
  rm -rf "$folder"
  mkdir -p "$folder"
  git archive "$commit" | tar -x -C "$folder"
  cmake -S "$folder" -B "$folder/build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DFUCHSIARAMP_TESTS=OFF >"$folder/configure.log" 2>&1 || { cat "$folder/configure.log" >&2; exit 1; }
  cmake --build "$folder/build" --target fuchsiarampd >"$folder/build.log" 2>&1 || { tail -50 "$folder/build.log" >&2; exit 1; }
fi
echo "$folder/build/programs/fuchsiarampd"
