#!/usr/bin/env bash
# Builds the stand-ins of the scripts of review/11 to review/15 into
# build/review-3. Needs the packages of deploy/system.toml.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
out="$root/build/review-3"
rm -rf "$out"
mkdir -p "$out"
pids=()
for source in "$root"/review/11/harness/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -c "$source" \
    -o "$out/$(basename "$source" .cpp).o" &
  pids+=("$!")
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
g++ "$out"/*.o -o "$out/fleet_case" -pthread
