#!/usr/bin/env bash
# Formats the C++ sources. With --check, only reports the files that are not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
if [ "${1:-}" = --check ]; then mode=(--dry-run --Werror); fi
find src platform tests \( -name '*.h' -o -name '*.cpp' \) -not -path '*/generated/*' -print0 |
  xargs -0 -n 20 -P 8 clang-format "${mode[@]}"
