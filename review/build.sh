#!/bin/sh
# The stand-ins are Python programs of the standard library, so there is nothing to compile; checks that they can start.
set -e
cd "$(dirname "$0")"
for file in common/*.py [1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
