#!/usr/bin/env bash
# Builds the peers of review/6 to review/10 into target/review-2. Needs the
# packages of deploy/system.toml and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for n in 6 7 8 9 10; do
  source=review/$n/case.cpp
  [ -f "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -DASIO_STANDALONE -DASIO_NO_DEPRECATED \
    "$source" -o "$out/case-$n" -pthread &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
