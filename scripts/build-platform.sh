#!/usr/bin/env bash
# Builds the two programs of the users' platform into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DLW_TESTS=OFF
ninja -C target lw-platform-control lw-platform-entry
