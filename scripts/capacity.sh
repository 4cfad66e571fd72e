#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md again. Takes about 8 minutes; prints one block for each command.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
scripts/build.sh >/dev/null
bin=${LW_BUILD:-build}/bin
run() {
  echo "== $*"
  # The membership measurement ends with 1 while its traffic is above the limit; the figures count here.
  "$@" || echo "exit code $?"
}
run "$bin/lw-measure" membership --seed=1
run "$bin/lw-measure" placement --seed=1
run "$bin/lw-measure" requests --seed=20261204
run "$bin/lw-measure" consensus --seed=1
run python3 scripts/inforce.py --bin "$bin"
