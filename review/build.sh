#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into target/review. Run it after
# the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/1/rig -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review
