#!/usr/bin/env bash
# Installs the required packages, builds, and runs a small system on loopback with planned changes under load. Exits
# with 0 only if all guarantees held. With --json, prints the result as one JSON object.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --json ]; then
  { scripts/packages.sh; scripts/build.sh; } >&2
else
  scripts/packages.sh
  scripts/build.sh
fi
exec python3 scripts/quickstart.py --bin "${LW_BUILD:-build}/bin" "$@"
