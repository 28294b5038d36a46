#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/balsamvale ] && [ -x target/review2/rig2 ] || { echo "build target/balsamvale and run review/build-2.sh first"; exit 2; }
exec target/review2/rig2 again review/10/record.txt
