#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
# TROUBLE=0 it does the same without the disruption. Build first: the deploy file's
# build line, then review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/target/review-2/second"
[ -x "$program" ] || { echo "run review/build-2.sh first"; exit 2; }
CASE=upkeep RECORD="$here/record.txt" CARAWAYSHIFT="$root/target/carawayshift" exec "$program"
