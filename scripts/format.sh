#!/usr/bin/env bash
# Formats the sources; with --check only says which files differ.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
if [ "${1:-}" = --check ]; then mode=(--dry-run --Werror); fi
find src platform tests \( -name '*.h' -o -name '*.cpp' \) -not -path '*/generated/*' -print0 |
  xargs -0 -n 20 -P 8 clang-format "${mode[@]}"
