#!/usr/bin/env bash
# Builds lw-platform-control and lw-platform-entry into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DLW_TESTS=OFF -DLW_STATIC_LIBRARIES=ON
ninja -C target lw-platform-control lw-platform-entry
