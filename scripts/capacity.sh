#!/usr/bin/env bash
# Repeats the measurements behind docs/CAPACITY.md. Takes about 8 minutes; prints one block per command.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
scripts/build.sh >/dev/null
bin=${LW_BUILD:-build}/bin
run() {
  echo "== $*"
  # lw-measure membership exits with 1 if its traffic exceeds the limit; its figures are still needed.
  "$@" || echo "exit code $?"
}
run "$bin/lw-measure" membership --seed=1
run "$bin/lw-measure" placement --seed=1
run "$bin/lw-measure" requests --seed=20261204
run "$bin/lw-measure" consensus --seed=1
run python3 scripts/inforce.py --bin "$bin"
