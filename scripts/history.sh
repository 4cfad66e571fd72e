#!/usr/bin/env bash
# Checks the history of concurrent operators against real control instances behind the fault-injecting proxy.
# Options: --seconds N --seed S. The last line is one JSON object; exit code 1 if anything was violated.
set -euo pipefail
cd "$(dirname "$0")/.."
{ scripts/packages.sh; scripts/build.sh; } >&2
exec python3 scripts/history.py --bin "${LW_BUILD:-build}/bin" "$@"
