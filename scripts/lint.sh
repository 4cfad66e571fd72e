#!/usr/bin/env bash
# Runs clang-tidy on all sources or on the files given as arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${LW_BUILD:-build}
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(find src platform tests -name '*.cpp' -not -path '*/generated/*' | sort)
fi
printf '%s\0' "${files[@]}" |
  xargs -0 -n 1 -P "${LW_LINT_JOBS:-8}" clang-tidy -p "$build" --quiet 2>/dev/null
