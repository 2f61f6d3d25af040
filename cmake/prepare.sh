#!/usr/bin/env bash
# Installs missing packages and builds the release preset.
set -eu
cd "$(dirname "$0")/.."
missing=()
for package in $(cat cmake/packages.txt); do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update
  apt-get install -y --no-install-recommends "${missing[@]}"
fi
cmake --preset release >build-configure.log 2>&1 || { cat build-configure.log; exit 1; }
cmake --build build
