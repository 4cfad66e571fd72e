#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Writes what was sent, answered and run to record.txt in this folder.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec python3 "$folder/case.py" "$folder/record.txt"
