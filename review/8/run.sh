#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 runs it without the disruption. Writes record.txt in this folder.
here=$(cd "$(dirname "$0")" && pwd)
exec python3 "$here/case.py" "$here/record.txt" "${TROUBLE:-1}"
