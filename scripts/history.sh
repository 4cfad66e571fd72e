#!/usr/bin/env bash
# Runs concurrent operators against control instances behind the fault proxy and checks their history for
# linearizability. Options: --seconds N --seed S. The last line of the output is a JSON object; the exit code is 1 if
# there was a violation.
set -euo pipefail
cd "$(dirname "$0")/.."
{ scripts/packages.sh; scripts/build.sh; } >&2
exec python3 scripts/history.py --bin "${LW_BUILD:-build}/bin" "$@"
