#!/usr/bin/env bash
# Builds all targets into build/ or the directory given by LW_BUILD.
set -euo pipefail
cd "$(dirname "$0")/.."
# Lets clones in different folders share the results of the compiler cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
build=${LW_BUILD:-build}
if [ ! -f "$build/build.ninja" ]; then
  cmake -S . -B "$build" -G Ninja >"${TMPDIR:-/tmp}/lw-cmake.$$.log" 2>&1 ||
    { cat "${TMPDIR:-/tmp}/lw-cmake.$$.log"; exit 1; }
fi
ninja -C "$build" -k 20
